package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Request is a caller's request to a service.
type Request struct {
	Service string
	Method  string
	// Path starts with a slash and includes the query.
	Path string
	// Header holds the caller's headers that are meant for the upstream.
	Header     http.Header
	Body       []byte
	Priority   structs.Priority
	Idempotent bool
	Deadline   time.Time
}

// Target is the agent process that an attempt is sent to.
type Target struct {
	ID      routing.AgentID
	Address string
}

// newAttemptID returns an ID that is unique among the attempts of all entries. Its last part is a sequence number of
// this process, which lets an agent that no longer holds the state of an attempt recognize it as an old one.
func (f *Forwarder) newAttemptID() string {
	return structs.AttemptID(f.opts.Incarnation, uint64(f.sequence.Add(1)))
}

// newRequest returns an HTTP/1.1 request to an agent.
func newRequest(method, address, path string, header http.Header, body []byte) *http.Request {
	if header == nil {
		header = http.Header{}
	}
	// An empty value prevents Request.Write from adding its default User-Agent.
	header.Set("User-Agent", "")
	r := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Host: address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return r
}

// attemptRequest builds the HTTP request that carries an attempt. trace holds the trace context headers.
func attemptRequest(r *Request, target Target, attempt string, budget time.Duration, trace http.Header) *http.Request {
	header := make(http.Header, len(r.Header)+len(trace)+8)
	for name, values := range trace {
		header[name] = values
	}
	for name, values := range r.Header {
		header[structs.HeaderForwardPrefix+name] = values
	}
	header.Set(structs.HeaderMethod, r.Method)
	header.Set(structs.HeaderPath, r.Path)
	header.Set(structs.HeaderService, r.Service)
	header.Set(structs.HeaderPriority, string(r.Priority))
	header.Set(structs.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	header.Set(structs.HeaderBudgetMillis, strconv.FormatInt(budget.Milliseconds(), 10))
	header.Set(structs.HeaderAgentIncarnation, target.ID.Incarnation)
	return newRequest(http.MethodPost, target.Address, "/v1/requests/"+attempt, header, r.Body)
}

// Reply is an agent's response to an attempt after its attempt ID, checksum and outcome were checked.
type Reply struct {
	Outcome structs.Outcome
	Status  int
	// Header holds the upstream's headers.
	Header http.Header
	Body   []byte
	Reason string
	// RetryAfter is how long the agent asks callers to wait before a retry, or 0.
	RetryAfter time.Duration
	Load       *routing.Load
}

// parseReply validates an HTTP response and converts it into the reply to an attempt.
func parseReply(m *Response, attempt string) (*Reply, error) {
	if got := m.Header.Get(structs.HeaderAttempt); got != attempt {
		return nil, &ExchangeError{Kind: FaultWrongResponse, Cause: eris.Errorf("response with status %d to attempt %q", m.Status, got)}
	}
	if got := m.Header.Get(structs.HeaderChecksum); !strings.EqualFold(got, structs.Checksum(m.Body)) {
		return nil, &ExchangeError{Kind: FaultChecksum, Cause: eris.Errorf("checksum %q of %d bytes", got, len(m.Body))}
	}
	reply := &Reply{
		Outcome: structs.Outcome(m.Header.Get(structs.HeaderOutcome)), Status: m.Status, Body: m.Body,
		Header: http.Header{}, Reason: m.Header.Get(structs.HeaderReason),
	}
	switch reply.Outcome {
	case structs.OutcomeAnswered, structs.OutcomeNotRun, structs.OutcomeUnknown:
	default:
		return nil, &ExchangeError{Kind: FaultMalformed, Cause: eris.Errorf("outcome %q", reply.Outcome)}
	}
	for name, values := range m.Header {
		if stripped, ok := strings.CutPrefix(name, structs.HeaderForwardPrefix); ok && stripped != "" {
			reply.Header[stripped] = values
		}
	}
	if seconds, err := strconv.Atoi(m.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		reply.RetryAfter = time.Duration(seconds) * time.Second
	}
	if load, ok := routing.ParseLoad(m.Header.Get(structs.HeaderLoad)); ok {
		reply.Load = &load
	}
	return reply, nil
}

// sendAttempt sends one attempt and returns the validated reply.
func (f *Forwarder) sendAttempt(ctx context.Context, r *Request, target Target, attempt string, interim func(http.Header)) (*Reply, error) {
	var reply *Reply
	_, err := f.opts.Pool.exchange(ctx, exchangeRequest{
		address: target.Address, interim: interim, validate: parseReplyInto(&reply, attempt),
		build: func() *http.Request {
			budget := time.Until(r.Deadline) - f.opts.DeadlineMargin
			return attemptRequest(r, target, attempt, max(budget, 0), traceHeaders(ctx))
		},
	})
	return reply, err
}

// parseReplyInto returns a function that parses a response to an attempt and stores the reply.
func parseReplyInto(reply **Reply, attempt string) func(*Response) error {
	return func(m *Response) (err error) {
		*reply, err = parseReply(m, attempt)
		return err
	}
}
