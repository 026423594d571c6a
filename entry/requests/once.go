package requests

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/idempotency"
	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// followGrace is how long a repeated request only looks for the response of the recorded attempt. After it the attempt
	// is resolved, which cancels it if it is still queued for a request that is under way at another entry.
	followGrace = 200 * time.Millisecond
	// followEvery is the wait between two questions to the agent.
	followEvery = 40 * time.Millisecond
	// maxAdoptions bounds how often one request takes over a record. Two entries that cancel each other's attempts end
	// there.
	maxAdoptions = 2
	// maxFollowFailures bounds the resolves of a recorded attempt without a response.
	maxFollowFailures = 3
)

// answerOnce answers a request that may run at most once.
func (m *Module) answerOnce(ctx context.Context, w http.ResponseWriter, p *parsed) forward.Result {
	key := p.key
	if key == "" {
		key = newKey()
		p.request.Header.Set(structs.HeaderIdempotencyKey, key)
	}
	w.Header().Set(structs.HeaderIdempotencyKey, key)
	if m.ledger == nil {
		return notRun(http.StatusServiceUnavailable, "the entry has no store for at-most-once records", time.Second)
	}
	claim := m.ledger.NewClaim(p.request.Service, key, requestHash(&p.request))
	for adoptions := 0; ; adoptions++ {
		result := m.forwarder.Do(ctx, &p.request, assigner{claim})
		found, exists := existing(ctx, claim, &result, p.key != "" && adoptions == 0)
		if !exists {
			return m.explainAssignError(ctx, result)
		}
		m.metrics.followed.Inc(1)
		followed, free := m.follow(ctx, p.request.Deadline, found.Record)
		if !free || adoptions >= maxAdoptions {
			return followed
		}
		if result.AssignError == nil {
			// The recorded attempt has not run, and there is no upstream for another one.
			return result
		}
		claim.Adopt(found)
	}
}

// existing returns the record that kept a request from running. A request whose key may be repeated and for which there is
// no upstream gets the response of an earlier one all the same, so its record is looked up too. An error of the look-up
// becomes the AssignError of the result.
func existing(ctx context.Context, claim *idempotency.Claim, result *forward.Result, repeated bool) (idempotency.Stored, bool) {
	var exists *idempotency.ExistsError
	if errors.As(result.AssignError, &exists) {
		return exists.Found, true
	}
	if !repeated || result.AssignError != nil || result.Attempts > 0 {
		return idempotency.Stored{}, false
	}
	found, ok, err := claim.Lookup(ctx)
	if err != nil {
		result.AssignError = err
	}
	return found, ok && err == nil
}

// newKey returns a random key of 128 bits for a request that came without one.
func newKey() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// requestHash tells requests under the same key apart.
func requestHash(r *forward.Request) string {
	return idempotency.Hash([]byte(r.Method), []byte(r.Path), []byte(r.Header.Get("Content-Type")), r.Body)
}

// explainAssignError turns an error of the assigner into the final result, and leaves other results as they are. In each
// case of an error the request was not run. Errors of the store name its keys, which are no business of callers; they go
// to the span.
func (m *Module) explainAssignError(ctx context.Context, result forward.Result) forward.Result {
	err := result.AssignError
	var rate *idempotency.RateError
	switch {
	case err == nil:
		return result
	case errors.Is(err, idempotency.ErrKeyReused):
		return notRun(http.StatusUnprocessableEntity, err.Error(), 0)
	case errors.As(err, &rate):
		m.metrics.recordsLimited.Inc(1)
		return notRun(http.StatusTooManyRequests, err.Error(), rate.RetryAfter)
	default:
		m.metrics.recordsFailed.Inc(1)
		trace.SpanFromContext(ctx).RecordError(err)
		return notRun(http.StatusServiceUnavailable, "the store did not confirm the at-most-once record", time.Second)
	}
}

// follow finds out what became of the attempt of an existing record, and returns its response. free tells that the
// attempt certainly has not run and never will, so that the record may be taken over.
func (m *Module) follow(ctx context.Context, deadline time.Time, record idempotency.Record) (result forward.Result, free bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	target := forward.Target{ID: routing.ID{Agent: record.Agent, Incarnation: record.Incarnation}, Address: record.Address}
	if address, ok := m.table.Address(target.ID); ok {
		target.Address = address
	}
	if reply := m.lookForAnswer(ctx, target, record.AttemptID); reply != nil {
		return relayed(reply, record.Agent), false
	}
	for failures := 0; failures < maxFollowFailures; {
		got, err := m.forwarder.Resolve(ctx, target, record.AttemptID)
		switch {
		case err != nil:
			failures++
		case got.Reply != nil:
			return relayed(got.Reply, record.Agent), false
		case got.State.NotRun():
			return conflict("the recorded attempt has not run"), true
		case got.State == structs.AttemptUnknown:
			return conflict("the outcome of an earlier request with this key is unknown"), false
		default:
			reply, err := m.forwarder.FetchAnswer(ctx, target, record.AttemptID, max(0, time.Until(deadline)))
			if err == nil && reply.Outcome == structs.OutcomeAnswered {
				return relayed(reply, record.Agent), false
			}
		}
		select {
		case <-ctx.Done():
			return conflict("an earlier request with this key is under way"), false
		case <-time.After(followEvery):
		}
	}
	return conflict("the agent that has an earlier request with this key can't be reached"), false
}

// lookForAnswer looks for the response of an attempt for the grace period, without an effect on the attempt.
func (m *Module) lookForAnswer(ctx context.Context, target forward.Target, attempt string) *forward.Reply {
	until := time.Now().Add(followGrace)
	for {
		reply, err := m.forwarder.FetchAnswer(ctx, target, attempt, max(0, time.Until(until)))
		if err == nil && reply.Outcome == structs.OutcomeAnswered {
			return reply
		}
		if ctx.Err() != nil || time.Until(until) < followEvery {
			return nil
		}
		time.Sleep(followEvery)
	}
}

// relayed returns the response of a recorded attempt as the result.
func relayed(reply *forward.Reply, agent string) forward.Result {
	return forward.Result{
		Outcome: structs.OutcomeAnswered, Status: reply.Status, Header: reply.Header, Body: reply.Body, Agent: agent,
	}
}

// conflict returns an unknown outcome because of another request with the same key.
func conflict(reason string) forward.Result {
	return forward.Result{
		Outcome: structs.OutcomeUnknown, Status: http.StatusConflict, Reason: reason, RetryAfter: time.Second,
	}
}
