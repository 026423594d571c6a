package forward

import "time"

// Phase is what is known of one attempt.
type Phase int

// The phases of an attempt.
const (
	// PhaseSent waits for the response.
	PhaseSent Phase = iota
	// PhaseLost has an open outcome that must be resolved.
	PhaseLost
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

// live tells whether the attempt may still be answered.
func (p Phase) live() bool {
	return p == PhaseSent || p == PhaseLost || p == PhaseResolving || p == PhaseRunning
}

// AttemptView is one attempt as the decision sees it.
type AttemptView struct {
	Phase Phase
	// Final tells that another upstream would refuse the request too.
	Final bool
	// FailedResolves counts resolves that got no response.
	FailedResolves int
	// NextResolve is the earliest time of the next resolve in PhaseLost and PhaseRunning.
	NextResolve time.Time
}

// View is what the decision about a request is made from.
type View struct {
	Now      time.Time
	Deadline time.Time
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	Attempts   []AttemptView
	// HedgeAt is when a second attempt of an idempotent request starts.
	HedgeAt time.Time
	// Budget tells that the retry budget has a token.
	Budget bool
	// Upstream tells that an upstream is left that was not tried.
	Upstream bool
	// Abandoned tells that the caller went away.
	Abandoned bool
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
	Action  Action
	Attempt int
	At      time.Time
	// Hedge tells that ActionSend is a hedge.
	Hedge bool
}

// Bounds of the work for one request.
const (
	// maxAttempts bounds retries and hedges together.
	maxAttempts = 3
	// maxFailedResolves bounds resolves without a response; after them the outcome counts as unknown.
	maxFailedResolves = 3
	// minRetryTime is the least remaining time for which another attempt is worth its load. Agents give up on a request
	// by a margin before its deadline; what is left then is not enough.
	minRetryTime = 25 * time.Millisecond
	// hedgeRecheck is how soon a hedge without budget is considered again.
	hedgeRecheck = 20 * time.Millisecond
)

// Decide returns what to do next for a request. It is pure.
//
// A request that can't be answered any more gets its final outcome at once; only an attempt that may still be answered
// is waited for.
func Decide(v View) Decision {
	notRun, live := 0, 0
	for i, a := range v.Attempts {
		switch a.Phase {
		case PhaseAnswered:
			return Decision{Action: ActionAnswer, Attempt: i}
		case PhaseNotRun:
			notRun++
		default:
			if a.Phase.live() {
				live++
			}
		}
	}
	certain := notRun == len(v.Attempts)
	if v.Abandoned || !v.Now.Before(v.Deadline) {
		return giveUp(certain)
	}
	if i := dueResolve(v); i >= 0 {
		return Decision{Action: ActionResolve, Attempt: i}
	}
	if live == 0 {
		if mayRetry(v, certain) {
			return Decision{Action: ActionSend}
		}
		return giveUp(certain)
	}
	switch hedge(v, live) {
	case hedgeNow:
		return Decision{Action: ActionSend, Hedge: true}
	case hedgeLater:
		return Decision{Action: ActionWait, At: earliest(v, v.HedgeAt)}
	case hedgeDenied:
		return Decision{Action: ActionWait, At: earliest(v, v.Now.Add(hedgeRecheck))}
	default:
		return Decision{Action: ActionWait, At: earliest(v, v.Deadline)}
	}
}

func giveUp(certain bool) Decision {
	if certain {
		return Decision{Action: ActionNotRun}
	}
	return Decision{Action: ActionUnknown}
}

func dueResolve(v View) int {
	for i, a := range v.Attempts {
		if (a.Phase == PhaseLost || a.Phase == PhaseRunning) && !v.Now.Before(a.NextResolve) {
			return i
		}
	}
	return -1
}

func mayRetry(v View, certain bool) bool {
	if len(v.Attempts) == 0 {
		return v.Upstream
	}
	for _, a := range v.Attempts {
		if a.Final {
			return false
		}
	}
	return (certain || v.Idempotent) && extra(v)
}

// extra tells whether one more attempt is affordable.
func extra(v View) bool { return v.Budget && possible(v) }

// possible tells whether one more attempt makes sense, whatever the budget.
func possible(v View) bool {
	return len(v.Attempts) < maxAttempts && v.Upstream && v.Deadline.Sub(v.Now) >= minRetryTime
}

// hedging is whether a second concurrent attempt is started.
type hedging int

const (
	hedgeNever hedging = iota
	hedgeLater
	hedgeNow
	// hedgeDenied is due but has no budget; the budget is looked at again.
	hedgeDenied
)

// hedge decides about a second concurrent attempt. An attempt whose connection was lost is hedged without further delay.
func hedge(v View, live int) hedging {
	if !v.Idempotent || live != 1 || !possible(v) {
		return hedgeNever
	}
	due := !v.Now.Before(v.HedgeAt)
	for _, a := range v.Attempts {
		if a.Final {
			return hedgeNever
		}
		due = due || a.Phase == PhaseLost || a.Phase == PhaseResolving || a.Phase == PhaseRunning
	}
	switch {
	case !due:
		return hedgeLater
	case !v.Budget:
		return hedgeDenied
	default:
		return hedgeNow
	}
}

// earliest returns the next time at which the decision may change by itself.
func earliest(v View, at time.Time) time.Time {
	if v.Deadline.Before(at) {
		at = v.Deadline
	}
	for _, a := range v.Attempts {
		if (a.Phase == PhaseLost || a.Phase == PhaseRunning) && a.NextResolve.Before(at) {
			at = a.NextResolve
		}
	}
	return at
}
