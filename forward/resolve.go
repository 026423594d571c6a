package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Resolution is the state of an attempt according to its agent process.
type Resolution struct {
	State structs.AttemptState
	// Reply is the response to the attempt. It is set only if State is AttemptFinished.
	Reply *Reply
}

// Resolve asks the agent over a new connection for the state of an attempt. It has side effects: a queued attempt is
// cancelled, and an attempt that has not arrived yet will be rejected. If a process other than the target responds, the
// state is unknown.
func (f *Forwarder) Resolve(ctx context.Context, target Target, attempt string) (Resolution, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.ResolveTimeout)
	defer cancel()
	var reply structs.ResolveReply
	_, err := f.opts.Pool.exchange(ctx, exchangeRequest{
		address: target.Address, forceNew: true, validate: parseResolveInto(&reply, attempt), build: func() *http.Request {
			// The incarnation prevents another process from recording the attempt as refused.
			header := traceHeaders(ctx)
			header.Set(structs.HeaderAgentIncarnation, target.ID.Incarnation)
			return newRequest(http.MethodPost, target.Address, "/v1/requests/"+attempt+"/resolve", header, nil)
		},
	})
	if err != nil {
		return Resolution{}, err
	}
	if reply.Incarnation != target.ID.Incarnation {
		return Resolution{State: structs.AttemptUnknown}, nil
	}
	if reply.State != structs.AttemptFinished {
		return Resolution{State: reply.State}, nil
	}
	answer, err := f.FetchAnswer(ctx, target, attempt, 0)
	if err != nil {
		return Resolution{}, err
	}
	if answer.Outcome != structs.OutcomeAnswered {
		// The response has been evicted, or the agent was restarted.
		return Resolution{State: structs.AttemptUnknown}, nil
	}
	return Resolution{State: structs.AttemptFinished, Reply: answer}, nil
}

// FetchAnswer fetches the response to an attempt without side effects. While the attempt is queued or running, the
// agent waits for it for at most the given time and then responds with outcome unknown. An outcome of not-run doesn't
// prove that the attempt has not run, since the response may come from a process other than the one that the attempt
// was sent to.
func (f *Forwarder) FetchAnswer(ctx context.Context, target Target, attempt string, wait time.Duration) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.ResolveTimeout)
	defer cancel()
	var reply *Reply
	_, err := f.opts.Pool.exchange(ctx, exchangeRequest{
		address: target.Address, forceNew: true, validate: parseReplyInto(&reply, attempt), build: func() *http.Request {
			header := traceHeaders(ctx)
			header.Set(structs.HeaderBudgetMillis, strconv.FormatInt(wait.Milliseconds(), 10))
			return newRequest(http.MethodGet, target.Address, "/v1/requests/"+attempt+"/answer", header, nil)
		},
	})
	return reply, err
}

// awaitAnswer waits for the response to an attempt that the agent has reported as running.
func (f *Forwarder) awaitAnswer(ctx context.Context, target Target, attempt string) (Resolution, error) {
	deadline, _ := ctx.Deadline()
	reply, err := f.FetchAnswer(ctx, target, attempt, max(0, time.Until(deadline)))
	if err != nil {
		return Resolution{}, err
	}
	if reply.Outcome == structs.OutcomeAnswered {
		return Resolution{State: structs.AttemptFinished, Reply: reply}, nil
	}
	return f.Resolve(ctx, target, attempt)
}

// parseResolveInto returns a function that validates the response to a resolve and stores it.
func parseResolveInto(reply *structs.ResolveReply, attempt string) func(*Response) error {
	return func(m *Response) error {
		if m.Status != http.StatusOK {
			return &ExchangeError{Kind: FaultMalformed, Cause: eris.Errorf("resolve: status %d", m.Status)}
		}
		if err := json.Unmarshal(m.Body, reply); err != nil {
			return &ExchangeError{Kind: FaultMalformed, Cause: err}
		}
		if reply.Attempt != attempt {
			return &ExchangeError{Kind: FaultWrongResponse, Cause: eris.Errorf("resolve: attempt %q", reply.Attempt)}
		}
		return nil
	}
}

// runningPollInterval is the delay before a running attempt is queried again.
const runningPollInterval = 50 * time.Millisecond

// resolveBackoff returns the delay after the n-th resolve without a response.
func resolveBackoff(n int) time.Duration {
	const first = 50 * time.Millisecond
	return first << min(n, 4)
}
