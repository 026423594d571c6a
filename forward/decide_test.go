package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

func statuses(phases ...Phase) []AttemptStatus {
	list := make([]AttemptStatus, len(phases))
	for i, phase := range phases {
		list[i].Phase = phase
	}
	return list
}

// Guards against a wrong next step for each combination of attempt results.
func TestDecide(t *testing.T) {
	base := RequestStatus{Now: testStart, Deadline: testStart.Add(time.Second), HedgeAt: testStart.Add(time.Minute), HasBudget: true, HasUpstream: true}
	idempotent := base
	idempotent.Idempotent = true
	with := func(v RequestStatus, phases ...Phase) RequestStatus {
		v.Attempts = statuses(phases...)
		return v
	}
	change := func(v RequestStatus, f func(*RequestStatus)) RequestStatus {
		f(&v)
		return v
	}
	for _, test := range []struct {
		name string
		view RequestStatus
		want Decision
	}{
		{"first attempt", with(base), Decision{Action: ActionSend}},
		{"no upstream", change(with(base), func(v *RequestStatus) { v.HasUpstream = false }), Decision{Action: ActionNotRun}},
		{"sent", with(base, PhaseSent), Decision{Action: ActionWait, WaitUntil: base.Deadline}},
		{"answered", with(base, PhaseNotRun, PhaseAnswered), Decision{Action: ActionAnswer, Attempt: 1}},
		{"lost is resolved before anything else", with(idempotent, PhaseUnresolved), Decision{Action: ActionResolve}},
		{"not run is retried", with(base, PhaseNotRun), Decision{Action: ActionSend}},
		{
			"not run without budget", change(with(base, PhaseNotRun), func(v *RequestStatus) { v.HasBudget = false }),
			Decision{Action: ActionNotRun},
		},
		{
			"refused by any upstream", change(with(base, PhaseNotRun), func(v *RequestStatus) { v.Attempts[0].RefusedByAll = true }),
			Decision{Action: ActionNotRun},
		},
		{"attempts are bounded", with(base, PhaseNotRun, PhaseNotRun, PhaseNotRun), Decision{Action: ActionNotRun}},
		{"unknown ends a non-idempotent request", with(base, PhaseUnknown), Decision{Action: ActionUnknown}},
		{"unknown is retried when idempotent", with(idempotent, PhaseUnknown), Decision{Action: ActionSend}},
		{"unknown and not run is unknown", with(idempotent, PhaseUnknown, PhaseNotRun, PhaseNotRun), Decision{Action: ActionUnknown}},
		{
			"running is polled", change(with(base, PhaseRunning), func(v *RequestStatus) { v.Attempts[0].NextResolveAt = testStart.Add(time.Millisecond) }),
			Decision{Action: ActionWait, WaitUntil: testStart.Add(time.Millisecond)},
		},
		{"a resolving attempt is hedged at once", with(idempotent, PhaseResolving), Decision{Action: ActionSend, Hedge: true}},
		{"a resolving attempt is awaited", with(base, PhaseResolving), Decision{Action: ActionWait, WaitUntil: base.Deadline}},
		{
			"hedge when due", change(with(idempotent, PhaseSent), func(v *RequestStatus) { v.HedgeAt = testStart }),
			Decision{Action: ActionSend, Hedge: true},
		},
		{
			"no hedge of a non-idempotent request", change(with(base, PhaseSent), func(v *RequestStatus) { v.HedgeAt = testStart }),
			Decision{Action: ActionWait, WaitUntil: base.Deadline},
		},
		{
			"a hedge without budget is considered again", change(with(idempotent, PhaseSent), func(v *RequestStatus) { v.HedgeAt, v.HasBudget = testStart, false }),
			Decision{Action: ActionWait, WaitUntil: testStart.Add(hedgeRecheckInterval)},
		},
		{
			"one hedge at a time", change(with(idempotent, PhaseSent, PhaseSent), func(v *RequestStatus) { v.HedgeAt = testStart }),
			Decision{Action: ActionWait, WaitUntil: base.Deadline},
		},
		{
			"deadline with an open attempt", change(with(idempotent, PhaseNotRun, PhaseSent), func(v *RequestStatus) { v.Now = v.Deadline }),
			Decision{Action: ActionUnknown},
		},
		{
			"deadline without one", change(with(base, PhaseNotRun), func(v *RequestStatus) { v.Now = v.Deadline }),
			Decision{Action: ActionNotRun},
		},
		{
			"too little time for a retry", change(with(base, PhaseNotRun), func(v *RequestStatus) { v.Now = v.Deadline.Add(-time.Millisecond) }),
			Decision{Action: ActionNotRun},
		},
		{"caller gone", change(with(base, PhaseSent), func(v *RequestStatus) { v.CallerGone = true }), Decision{Action: ActionUnknown}},
	} {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, Decide(test.view), qt.Equals, test.want) })
	}
}

// Guards against a result of not-run while an attempt may have run, a second attempt of a non-idempotent request that
// may have run, an attempt without retry budget, and waiting when no response can arrive any more.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := func(name string) time.Time {
			return testStart.Add(time.Duration(rapid.IntRange(-20, 20).Draw(t, name)) * time.Millisecond)
		}
		v := RequestStatus{
			Now: testStart, Deadline: offset("deadline"), HedgeAt: offset("hedge"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			HasBudget: rapid.Bool().Draw(t, "budget"), HasUpstream: rapid.Bool().Draw(t, "upstream"), CallerGone: rapid.Bool().Draw(t, "gone"),
		}
		certain, live := true, false
		for range rapid.IntRange(0, maxAttempts).Draw(t, "attempts") {
			a := AttemptStatus{Phase: Phase(rapid.IntRange(0, int(PhaseUnknown)).Draw(t, "phase")), NextResolveAt: offset("next")}
			a.RefusedByAll = a.Phase == PhaseNotRun && rapid.Bool().Draw(t, "final")
			v.Attempts = append(v.Attempts, a)
			certain = certain && a.Phase == PhaseNotRun
			live = live || a.Phase < PhaseNotRun
		}
		d := Decide(v)
		first := len(v.Attempts) == 0
		switch d.Action {
		case ActionNotRun:
			if !certain {
				t.Fatal("the result is not-run although an attempt may have run")
			}
		case ActionSend:
			if !v.HasUpstream || !v.Now.Before(v.Deadline) || (!first && !v.HasBudget) || len(v.Attempts) >= maxAttempts {
				t.Fatal("an attempt exceeds the limits of the request or the retry budget")
			}
			if !v.Idempotent && !certain {
				t.Fatal("a non-idempotent request may run twice")
			}
		case ActionWait:
			if !live {
				t.Fatal("the request waits although no attempt can be answered")
			}
			if !d.WaitUntil.After(v.Now) {
				t.Fatal("a wait must end later than now, or the request loops without a pause")
			}
		}
	})
}
