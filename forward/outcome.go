package forward

import (
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// answeredResult returns the response to an attempt and records the latency of the request.
func (r *requestRun) answeredResult(a *attempt) Result {
	if a.hedge {
		r.f.counters.hedgesWon.Inc(1)
	}
	// The latency counts from the first attempt. If a winning hedge counted from its own start, each hedge would lower
	// the percentile that serves as the hedge delay.
	now := time.Now()
	r.f.opts.Latencies.Observe(r.request.Service, now.Sub(r.attempts[0].started), now)
	return Result{
		Outcome: structs.OutcomeAnswered, Status: a.reply.Status, Header: a.reply.Header, Body: a.reply.Body,
		Agent: a.target.ID.Agent, Attempts: len(r.attempts),
	}
}

// defaultRetryAfter is the retry delay for callers if the agent gives none.
const defaultRetryAfter = time.Second

// notRunResult returns the result of a request that was not run, with the status and reason of the last attempt.
func (r *requestRun) notRunResult() Result {
	out := Result{
		Outcome: structs.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: string(r.verdict),
		RetryAfter: defaultRetryAfter, Attempts: len(r.attempts),
	}
	if len(r.attempts) == 0 {
		if !time.Now().Before(r.request.Deadline) {
			out.Reason = "the deadline passed before the request was sent"
		}
		return out
	}
	last := r.attempts[len(r.attempts)-1]
	out.Agent, out.Reason = last.target.ID.Agent, last.reason
	if last.reply == nil {
		return out
	}
	switch last.reply.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		out.Status, out.RetryAfter = last.reply.Status, 0
	case http.StatusTooManyRequests:
		out.Status = last.reply.Status
	}
	if last.reply.RetryAfter > 0 {
		out.RetryAfter = last.reply.RetryAfter
	}
	return out
}

// unknownResult returns the result of a request that may have run without a response.
func (r *requestRun) unknownResult() Result {
	out := Result{
		Outcome: structs.OutcomeUnknown, Status: http.StatusGatewayTimeout, Attempts: len(r.attempts),
		Reason: "the deadline passed",
	}
	for _, a := range r.attempts {
		out.Agent = a.target.ID.Agent
		if a.reason != "" {
			out.Reason = a.reason
		}
	}
	return out
}
