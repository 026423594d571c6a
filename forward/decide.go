package forward

import "time"

// Phase is what is known of one attempt.
type Phase int

// The phases of an attempt.
const (
	// PhaseSent waits for the response.
	PhaseSent Phase = iota
	// PhaseUnresolved has an open outcome that must be resolved.
	PhaseUnresolved
	// PhaseResolving waits for the response to a resolve.
	PhaseResolving
	// PhaseRunning was resolved as running; its connection is lost.
	PhaseRunning
	// PhaseNotRun certainly has not run and never will.
	PhaseNotRun
	// PhaseAnswered has the upstream's response.
	PhaseAnswered
	// PhaseUnknown will never be known.
	PhaseUnknown
)

// String returns the phase as it appears in spans.
func (p Phase) String() string {
	return [...]string{"sent", "lost", "resolving", "running", "not_run", "answered", "unknown"}[p]
}

// pending tells whether the attempt may still be answered.
func (p Phase) pending() bool {
	return p == PhaseSent || p == PhaseUnresolved || p == PhaseResolving || p == PhaseRunning
}

// AttemptStatus is one attempt as the decision sees it.
type AttemptStatus struct {
	Phase Phase
	// RefusedByAll tells that another upstream would refuse the request too.
	RefusedByAll bool
	// FailedResolves counts resolves that got no response.
	FailedResolves int
	// NextResolveAt is the earliest time of the next resolve in PhaseUnresolved and PhaseRunning.
	NextResolveAt time.Time
}

// RequestStatus is what the decision about a request is made from.
type RequestStatus struct {
	Now      time.Time
	Deadline time.Time
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	Attempts   []AttemptStatus
	// HedgeAt is when a second attempt of an idempotent request starts.
	HedgeAt time.Time
	// HasBudget tells that the retry budget has a token.
	HasBudget bool
	// HasUpstream tells that an upstream is left that was not tried.
	HasUpstream bool
	// CallerGone tells that the caller went away.
	CallerGone bool
}

// Action is what to do next.
type Action int

// The actions of a decision.
const (
	// ActionWait waits for a result or until the time At.
	ActionWait Action = iota
	// ActionSend starts another attempt; after the first one it costs a token of the retry budget.
	ActionSend
	// ActionResolve resolves the attempt Attempt.
	ActionResolve
	// ActionAnswer responds with the response of Attempt.
	ActionAnswer
	// ActionNotRun reports that the request was not run, with the reason of the last attempt.
	ActionNotRun
	// ActionUnknown reports that the outcome is unknown.
	ActionUnknown
)

// Decision is the result of Decide.
type Decision struct {
	Action    Action
	Attempt   int
	WaitUntil time.Time
	// Hedge tells that ActionSend is a hedge.
	Hedge bool
}

// Bounds of the work for one request.
const (
	// maxAttempts bounds retries and hedges together.
	maxAttempts = 3
	// maxFailedResolves bounds resolves without a response; after them the outcome counts as unknown.
	maxFailedResolves = 3
	// minRetryRemaining is the least remaining time for which another attempt is worth its load. Agents give up on a request
	// by a margin before its deadline; what is left then is not enough.
	minRetryRemaining = 25 * time.Millisecond
	// hedgeRecheckInterval is how soon a hedge without budget is considered again.
	hedgeRecheckInterval = 20 * time.Millisecond
)

// Decide returns what to do next for a request. It is pure.
//
// A request that can't be answered any more gets its final outcome at once; only an attempt that may still be answered
// is waited for.
func Decide(v RequestStatus) Decision {
	notRun, pending := 0, 0
	for i, a := range v.Attempts {
		switch a.Phase {
		case PhaseAnswered:
			return Decision{Action: ActionAnswer, Attempt: i}
		case PhaseNotRun:
			notRun++
		default:
			if a.Phase.pending() {
				pending++
			}
		}
	}
	noneRan := notRun == len(v.Attempts)
	if v.CallerGone || !v.Now.Before(v.Deadline) {
		return finalDecision(noneRan)
	}
	if i := dueResolve(v); i >= 0 {
		return Decision{Action: ActionResolve, Attempt: i}
	}
	if pending == 0 {
		if shouldRetry(v, noneRan) {
			return Decision{Action: ActionSend}
		}
		return finalDecision(noneRan)
	}
	switch decideHedge(v, pending) {
	case hedgeNow:
		return Decision{Action: ActionSend, Hedge: true}
	case hedgeLater:
		return Decision{Action: ActionWait, WaitUntil: nextWakeup(v, v.HedgeAt)}
	case hedgeDenied:
		return Decision{Action: ActionWait, WaitUntil: nextWakeup(v, v.Now.Add(hedgeRecheckInterval))}
	default:
		return Decision{Action: ActionWait, WaitUntil: nextWakeup(v, v.Deadline)}
	}
}

func finalDecision(noneRan bool) Decision {
	if noneRan {
		return Decision{Action: ActionNotRun}
	}
	return Decision{Action: ActionUnknown}
}

func dueResolve(v RequestStatus) int {
	for i, a := range v.Attempts {
		if (a.Phase == PhaseUnresolved || a.Phase == PhaseRunning) && !v.Now.Before(a.NextResolveAt) {
			return i
		}
	}
	return -1
}

func shouldRetry(v RequestStatus, noneRan bool) bool {
	if len(v.Attempts) == 0 {
		return v.HasUpstream
	}
	for _, a := range v.Attempts {
		if a.RefusedByAll {
			return false
		}
	}
	return (noneRan || v.Idempotent) && canAffordAttempt(v)
}

// canAffordAttempt tells whether one more attempt is affordable.
func canAffordAttempt(v RequestStatus) bool { return v.HasBudget && attemptUseful(v) }

// attemptUseful tells whether one more attempt makes sense, whatever the budget.
func attemptUseful(v RequestStatus) bool {
	return len(v.Attempts) < maxAttempts && v.HasUpstream && v.Deadline.Sub(v.Now) >= minRetryRemaining
}

// hedgeDecision is whether a second concurrent attempt is started.
type hedgeDecision int

const (
	hedgeNever hedgeDecision = iota
	hedgeLater
	hedgeNow
	// hedgeDenied is due but has no budget; the budget is looked at again.
	hedgeDenied
)

// decideHedge decides about a second concurrent attempt. An attempt whose connection was lost is hedged without further delay.
func decideHedge(v RequestStatus, pending int) hedgeDecision {
	if !v.Idempotent || pending != 1 || !attemptUseful(v) {
		return hedgeNever
	}
	due := !v.Now.Before(v.HedgeAt)
	for _, a := range v.Attempts {
		if a.RefusedByAll {
			return hedgeNever
		}
		due = due || a.Phase == PhaseUnresolved || a.Phase == PhaseResolving || a.Phase == PhaseRunning
	}
	switch {
	case !due:
		return hedgeLater
	case !v.HasBudget:
		return hedgeDenied
	default:
		return hedgeNow
	}
}

// nextWakeup returns the next time at which the decision may change by itself.
func nextWakeup(v RequestStatus, at time.Time) time.Time {
	if v.Deadline.Before(at) {
		at = v.Deadline
	}
	for _, a := range v.Attempts {
		if (a.Phase == PhaseUnresolved || a.Phase == PhaseRunning) && a.NextResolveAt.Before(at) {
			at = a.NextResolveAt
		}
	}
	return at
}
