package forward

import (
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

func (r *requestRun) answeredResult(a *attempt) Result {
	if a.hedge {
		r.f.counters.hedgesWon.Inc(1)
	}
	// The latency counts from the first attempt. Were a hedge that wins counted from its own start, the percentile after
	// which requests are hedged would shrink with each hedge.
	now := time.Now()
	r.f.opts.Latencies.Observe(r.request.Service, now.Sub(r.attempts[0].started), now)
	return Result{
		Outcome: structs.OutcomeAnswered, Status: a.reply.Status, Header: a.reply.Header, Body: a.reply.Body,
		Agent: a.target.ID.Agent, Attempts: len(r.attempts),
	}
}

// defaultRetryAfter is told to callers when no agent has named a time.
const defaultRetryAfter = time.Second

// notRunResult relays why the newest attempt was refused.
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
