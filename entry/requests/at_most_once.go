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
	// followGrace is how long a repeated request only polls for the response of the recorded attempt. After that, the
	// attempt is resolved, which cancels it if it is still queued, even if its request is still active at another entry.
	followGrace = 200 * time.Millisecond
	// followInterval is the pause between two polls of the agent.
	followInterval = 40 * time.Millisecond
	// maxAdoptions limits how often one request takes over a record, so that two entries can't keep cancelling each other's
	// attempts.
	maxAdoptions = 2
	// maxFollowFailures limits how many resolves of a recorded attempt may fail.
	maxFollowFailures = 3
)

// answerAtMostOnce handles a request that may run at most once. If there is already a record for its key, it follows the
// recorded attempt.
func (m *Module) answerAtMostOnce(ctx context.Context, w http.ResponseWriter, p *parsedRequest) forward.Result {
	key := p.key
	if key == "" {
		key = newKey()
		p.request.Header.Set(structs.HeaderIdempotencyKey, key)
	}
	w.Header().Set(structs.HeaderIdempotencyKey, key)
	if m.recorder == nil {
		return notRun(http.StatusServiceUnavailable, "the entry has no store for at-most-once records", time.Second)
	}
	claim := m.recorder.NewClaim(p.request.Service, key, requestHash(&p.request))
	for adoptions := 0; ; adoptions++ {
		result := m.forwarder.Do(ctx, &p.request, claimAssigner{claim})
		found, exists := findExistingRecord(ctx, claim, &result, p.key != "" && adoptions == 0)
		if !exists {
			return m.explainAssignError(ctx, result)
		}
		m.metrics.followed.Inc(1)
		followed, neverRuns := m.follow(ctx, p.request.Deadline, found.Record)
		if !neverRuns || adoptions >= maxAdoptions {
			return followed
		}
		if result.AssignError == nil {
			// The recorded attempt never runs, and no upstream can take another one.
			return result
		}
		claim.Adopt(found)
	}
}

// findExistingRecord returns the record that prevented a request from running. If no attempt was made, for example for lack
// of an upstream, it looks up the record of a request that may be a repetition, which can still get the response of the
// earlier request. An error of the lookup becomes the AssignError of the result.
func findExistingRecord(ctx context.Context, claim *idempotency.Claim, result *forward.Result, mayRepeat bool) (idempotency.StoredRecord, bool) {
	var exists *idempotency.ExistsError
	if errors.As(result.AssignError, &exists) {
		return exists.Found, true
	}
	if !mayRepeat || result.AssignError != nil || result.Attempts > 0 {
		return idempotency.StoredRecord{}, false
	}
	found, ok, err := claim.Lookup(ctx)
	if err != nil {
		result.AssignError = err
	}
	return found, ok && err == nil
}

// newKey returns a random 128-bit key for a request without one.
func newKey() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// requestHash returns a hash of the request's content, to detect a key that is reused for another request.
func requestHash(r *forward.Request) string {
	return idempotency.Hash([]byte(r.Method), []byte(r.Path), []byte(r.Header.Get("Content-Type")), r.Body)
}

// explainAssignError turns an error of the assigner, after which the request has certainly not run, into the final result.
// It returns other results unchanged. Errors of the store contain its keys, which must not be exposed to callers, so they
// are only recorded in the span.
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

// follow determines the outcome of the attempt of an existing record and returns its response. neverRuns reports that the
// attempt has certainly not run and never will, so the record may be taken over.
func (m *Module) follow(ctx context.Context, deadline time.Time, record idempotency.Record) (result forward.Result, neverRuns bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	target := forward.Target{ID: routing.AgentID{Agent: record.Agent, Incarnation: record.Incarnation}, Address: record.Address}
	if address, ok := m.table.Address(target.ID); ok {
		target.Address = address
	}
	if reply := m.pollForAnswer(ctx, target, record.AttemptID); reply != nil {
		return answeredResult(reply, record.Agent), false
	}
	for failures := 0; failures < maxFollowFailures; {
		got, err := m.forwarder.Resolve(ctx, target, record.AttemptID)
		switch {
		case err != nil:
			failures++
		case got.Reply != nil:
			return answeredResult(got.Reply, record.Agent), false
		case got.State.NotRun():
			return conflictResult("the recorded attempt has not run"), true
		case got.State == structs.AttemptUnknown:
			return conflictResult("the outcome of an earlier request with this key is unknown"), false
		default:
			reply, err := m.forwarder.FetchAnswer(ctx, target, record.AttemptID, max(0, time.Until(deadline)))
			if err == nil && reply.Outcome == structs.OutcomeAnswered {
				return answeredResult(reply, record.Agent), false
			}
		}
		select {
		case <-ctx.Done():
			return conflictResult("an earlier request with this key is under way"), false
		case <-time.After(followInterval):
		}
	}
	return conflictResult("the agent that has an earlier request with this key can't be reached"), false
}

// pollForAnswer polls for the response of an attempt during followGrace. It doesn't affect the attempt.
func (m *Module) pollForAnswer(ctx context.Context, target forward.Target, attempt string) *forward.Reply {
	until := time.Now().Add(followGrace)
	for {
		reply, err := m.forwarder.FetchAnswer(ctx, target, attempt, max(0, time.Until(until)))
		if err == nil && reply.Outcome == structs.OutcomeAnswered {
			return reply
		}
		if ctx.Err() != nil || time.Until(until) < followInterval {
			return nil
		}
		time.Sleep(followInterval)
	}
}

// answeredResult returns the response of a recorded attempt as a result.
func answeredResult(reply *forward.Reply, agent string) forward.Result {
	return forward.Result{
		Outcome: structs.OutcomeAnswered, Status: reply.Status, Header: reply.Header, Body: reply.Body, Agent: agent,
	}
}

// conflictResult returns a result with an unknown outcome, caused by another request with the same key.
func conflictResult(reason string) forward.Result {
	return forward.Result{
		Outcome: structs.OutcomeUnknown, Status: http.StatusConflict, Reason: reason, RetryAfter: time.Second,
	}
}
