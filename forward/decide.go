package forward

import "time"

// Phase is the state of an attempt as far as the entry knows it.
type Phase int

// The phases of an attempt.
const (
	// PhaseSent means that the response is pending.
	PhaseSent Phase = iota
	// PhaseUnresolved means that the exchange failed after the agent may have received the attempt, so that the agent
	// must be asked for its state.
	PhaseUnresolved
	// PhaseResolving means that a resolve is in flight.
	PhaseResolving
	// PhaseRunning means that the connection was lost and the agent reported the attempt as queued or running.
	PhaseRunning
	// PhaseNotRun means that the attempt has not run and never will.
	PhaseNotRun
	// PhaseAnswered means that the upstream's response was received.
	PhaseAnswered
	// PhaseUnknown means that the outcome can no longer be determined.
	PhaseUnknown
)

// String returns the name of the phase that is recorded in spans.
func (p Phase) String() string {
	return [...]string{"sent", "lost", "resolving", "running", "not_run", "answered", "unknown"}[p]
}

// pending reports whether a response to the attempt may still be obtained.
func (p Phase) pending() bool {
	return p == PhaseSent || p == PhaseUnresolved || p == PhaseResolving || p == PhaseRunning
}

// AttemptStatus is the part of an attempt's state that Decide uses.
type AttemptStatus struct {
	Phase Phase
	// RefusedByAll reports that the request was refused for a reason that applies to every upstream.
	RefusedByAll bool
	// FailedResolves is the number of resolves without a response.
	FailedResolves int
	// NextResolveAt is the earliest time of the next resolve. It applies to PhaseUnresolved and PhaseRunning.
	NextResolveAt time.Time
}

// RequestStatus is the input of Decide.
type RequestStatus struct {
	Now      time.Time
	Deadline time.Time
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	Attempts   []AttemptStatus
	// HedgeAt is the time at which an idempotent request without a response is hedged.
	HedgeAt time.Time
	// HasBudget reports whether the retry budget has a token.
	HasBudget bool
	// HasUpstream reports whether there is an upstream for another attempt.
	HasUpstream bool
	// CallerGone reports whether the caller has disconnected.
	CallerGone bool
}

// Action is the next step of a request.
type Action int

// Actions returned by Decide.
const (
	// ActionWait waits for a result or until WaitUntil.
	ActionWait Action = iota
	// ActionSend starts an attempt. Each attempt after the first one takes a token of the retry budget.
	ActionSend
	// ActionResolve asks the agent for the state of the attempt with the index Attempt.
	ActionResolve
	// ActionAnswer returns the response to the attempt with the index Attempt.
	ActionAnswer
	// ActionNotRun reports that the request was not run, and the reason of the last attempt.
	ActionNotRun
	// ActionUnknown reports that the outcome is unknown.
	ActionUnknown
)

// Decision is the result of Decide.
type Decision struct {
	Action    Action
	Attempt   int
	WaitUntil time.Time
	// Hedge marks the attempt of ActionSend as a hedge.
	Hedge bool
}

// Limits per request.
const (
	// maxAttempts limits the attempts, including retries and hedges.
	maxAttempts = 3
	// maxFailedResolves is the number of resolves without a response after which the outcome counts as unknown.
	maxFailedResolves = 3
	// minRetryRemaining is the minimum time before the deadline for another attempt. Agents give up on a request a
	// margin before its deadline, and the time that remains then is too short for another attempt.
	minRetryRemaining = 25 * time.Millisecond
	// hedgeRecheckInterval is the delay until the budget is checked again for a hedge that is due.
	hedgeRecheckInterval = 20 * time.Millisecond
)

// Decide returns the next step of a request. It is a pure function.
//
// A request that can no longer be answered gets its final outcome at once: Decide returns ActionWait only while a
// response to an attempt may still be obtained.
func Decide(status RequestStatus) Decision {
	notRun, pending := 0, 0
	for i, a := range status.Attempts {
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
	noneRan := notRun == len(status.Attempts)
	if status.CallerGone || !status.Now.Before(status.Deadline) {
		return finalDecision(noneRan)
	}
	if i := dueResolve(status); i >= 0 {
		return Decision{Action: ActionResolve, Attempt: i}
	}
	if pending == 0 {
		if shouldRetry(status, noneRan) {
			return Decision{Action: ActionSend}
		}
		return finalDecision(noneRan)
	}
	switch decideHedge(status, pending) {
	case hedgeNow:
		return Decision{Action: ActionSend, Hedge: true}
	case hedgeLater:
		return Decision{Action: ActionWait, WaitUntil: nextWakeup(status, status.HedgeAt)}
	case hedgeDenied:
		return Decision{Action: ActionWait, WaitUntil: nextWakeup(status, status.Now.Add(hedgeRecheckInterval))}
	default:
		return Decision{Action: ActionWait, WaitUntil: nextWakeup(status, status.Deadline)}
	}
}

// finalDecision returns the outcome of a request without a response.
func finalDecision(noneRan bool) Decision {
	if noneRan {
		return Decision{Action: ActionNotRun}
	}
	return Decision{Action: ActionUnknown}
}

// dueResolve returns the index of the first attempt that is due for a resolve, or -1.
func dueResolve(status RequestStatus) int {
	for i, a := range status.Attempts {
		if (a.Phase == PhaseUnresolved || a.Phase == PhaseRunning) && !status.Now.Before(a.NextResolveAt) {
			return i
		}
	}
	return -1
}

// shouldRetry reports whether to send another attempt when none is pending. A non-idempotent request is retried only if
// no attempt has run.
func shouldRetry(status RequestStatus, noneRan bool) bool {
	if len(status.Attempts) == 0 {
		return status.HasUpstream
	}
	for _, a := range status.Attempts {
		if a.RefusedByAll {
			return false
		}
	}
	return (noneRan || status.Idempotent) && canAffordAttempt(status)
}

// canAffordAttempt reports whether another attempt is useful and within the retry budget.
func canAffordAttempt(status RequestStatus) bool { return status.HasBudget && attemptUseful(status) }

// attemptUseful reports whether another attempt is within the limits of the request, regardless of the retry budget.
func attemptUseful(status RequestStatus) bool {
	return len(status.Attempts) < maxAttempts && status.HasUpstream && status.Deadline.Sub(status.Now) >= minRetryRemaining
}

// hedgeDecision tells whether and when to start a second concurrent attempt.
type hedgeDecision int

const (
	hedgeNever hedgeDecision = iota
	hedgeLater
	hedgeNow
	// hedgeDenied means that the hedge is due and the retry budget has no token, so that the budget is checked again
	// later.
	hedgeDenied
)

// decideHedge decides about a second concurrent attempt. An attempt whose connection was lost is hedged immediately.
func decideHedge(status RequestStatus, pending int) hedgeDecision {
	if !status.Idempotent || pending != 1 || !attemptUseful(status) {
		return hedgeNever
	}
	due := !status.Now.Before(status.HedgeAt)
	for _, a := range status.Attempts {
		if a.RefusedByAll {
			return hedgeNever
		}
		due = due || a.Phase == PhaseUnresolved || a.Phase == PhaseResolving || a.Phase == PhaseRunning
	}
	switch {
	case !due:
		return hedgeLater
	case !status.HasBudget:
		return hedgeDenied
	default:
		return hedgeNow
	}
}

// nextWakeup returns the earliest of at, the deadline and the next resolve.
func nextWakeup(status RequestStatus, at time.Time) time.Time {
	if status.Deadline.Before(at) {
		at = status.Deadline
	}
	for _, a := range status.Attempts {
		if (a.Phase == PhaseUnresolved || a.Phase == PhaseRunning) && a.NextResolveAt.Before(at) {
			at = a.NextResolveAt
		}
	}
	return at
}
