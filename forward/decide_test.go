package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func views(phases ...Phase) []AttemptView {
	list := make([]AttemptView, len(phases))
	for i, phase := range phases {
		list[i].Phase = phase
	}
	return list
}

// Guards against a wrong next step after each result of an attempt.
func TestDecide(t *testing.T) {
	base := View{Now: epoch, Deadline: epoch.Add(time.Second), HedgeAt: epoch.Add(time.Minute), Budget: true, Upstream: true}
	idempotent := base
	idempotent.Idempotent = true
	with := func(v View, phases ...Phase) View {
		v.Attempts = views(phases...)
		return v
	}
	change := func(v View, f func(*View)) View {
		f(&v)
		return v
	}
	for _, test := range []struct {
		name string
		view View
		want Decision
	}{
		{"first attempt", with(base), Decision{Action: ActionSend}},
		{"no upstream", change(with(base), func(v *View) { v.Upstream = false }), Decision{Action: ActionNotRun}},
		{"sent", with(base, PhaseSent), Decision{Action: ActionWait, At: base.Deadline}},
		{"answered", with(base, PhaseNotRun, PhaseAnswered), Decision{Action: ActionAnswer, Attempt: 1}},
		{"lost is resolved before anything else", with(idempotent, PhaseLost), Decision{Action: ActionResolve}},
		{"not run is retried", with(base, PhaseNotRun), Decision{Action: ActionSend}},
		{
			"not run without budget", change(with(base, PhaseNotRun), func(v *View) { v.Budget = false }),
			Decision{Action: ActionNotRun},
		},
		{
			"refused by any upstream", change(with(base, PhaseNotRun), func(v *View) { v.Attempts[0].Final = true }),
			Decision{Action: ActionNotRun},
		},
		{"attempts are bounded", with(base, PhaseNotRun, PhaseNotRun, PhaseNotRun), Decision{Action: ActionNotRun}},
		{"unknown ends a non-idempotent request", with(base, PhaseUnknown), Decision{Action: ActionUnknown}},
		{"unknown is retried when idempotent", with(idempotent, PhaseUnknown), Decision{Action: ActionSend}},
		{"unknown and not run is unknown", with(idempotent, PhaseUnknown, PhaseNotRun, PhaseNotRun), Decision{Action: ActionUnknown}},
		{
			"running is polled", change(with(base, PhaseRunning), func(v *View) { v.Attempts[0].NextResolve = epoch.Add(time.Millisecond) }),
			Decision{Action: ActionWait, At: epoch.Add(time.Millisecond)},
		},
		{"a resolving attempt is hedged at once", with(idempotent, PhaseResolving), Decision{Action: ActionSend, Hedge: true}},
		{"a resolving attempt is awaited", with(base, PhaseResolving), Decision{Action: ActionWait, At: base.Deadline}},
		{
			"hedge when due", change(with(idempotent, PhaseSent), func(v *View) { v.HedgeAt = epoch }),
			Decision{Action: ActionSend, Hedge: true},
		},
		{
			"no hedge of a non-idempotent request", change(with(base, PhaseSent), func(v *View) { v.HedgeAt = epoch }),
			Decision{Action: ActionWait, At: base.Deadline},
		},
		{
			"a hedge without budget is considered again", change(with(idempotent, PhaseSent), func(v *View) { v.HedgeAt, v.Budget = epoch, false }),
			Decision{Action: ActionWait, At: epoch.Add(hedgeRecheck)},
		},
		{
			"one hedge at a time", change(with(idempotent, PhaseSent, PhaseSent), func(v *View) { v.HedgeAt = epoch }),
			Decision{Action: ActionWait, At: base.Deadline},
		},
		{
			"deadline with an open attempt", change(with(idempotent, PhaseNotRun, PhaseSent), func(v *View) { v.Now = v.Deadline }),
			Decision{Action: ActionUnknown},
		},
		{
			"deadline without one", change(with(base, PhaseNotRun), func(v *View) { v.Now = v.Deadline }),
			Decision{Action: ActionNotRun},
		},
		{
			"too little time for a retry", change(with(base, PhaseNotRun), func(v *View) { v.Now = v.Deadline.Add(-time.Millisecond) }),
			Decision{Action: ActionNotRun},
		},
		{"caller gone", change(with(base, PhaseSent), func(v *View) { v.Abandoned = true }), Decision{Action: ActionUnknown}},
	} {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, Decide(test.view), qt.Equals, test.want) })
	}
}

// Guards against a report of not-run with an open attempt, a second attempt of a non-idempotent request that may have
// run, a spent budget, and a request that is held although nothing can answer it any more.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := func(name string) time.Time {
			return epoch.Add(time.Duration(rapid.IntRange(-20, 20).Draw(t, name)) * time.Millisecond)
		}
		v := View{
			Now: epoch, Deadline: offset("deadline"), HedgeAt: offset("hedge"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Budget: rapid.Bool().Draw(t, "budget"), Upstream: rapid.Bool().Draw(t, "upstream"), Abandoned: rapid.Bool().Draw(t, "gone"),
		}
		certain, live := true, false
		for range rapid.IntRange(0, maxAttempts).Draw(t, "attempts") {
			a := AttemptView{Phase: Phase(rapid.IntRange(0, int(PhaseUnknown)).Draw(t, "phase")), NextResolve: offset("next")}
			a.Final = a.Phase == PhaseNotRun && rapid.Bool().Draw(t, "final")
			v.Attempts = append(v.Attempts, a)
			certain = certain && a.Phase == PhaseNotRun
			live = live || a.Phase < PhaseNotRun
		}
		d := Decide(v)
		first := len(v.Attempts) == 0
		switch d.Action {
		case ActionNotRun:
			if !certain {
				t.Fatal("not-run although an attempt may have run")
			}
		case ActionSend:
			if !v.Upstream || !v.Now.Before(v.Deadline) || (!first && !v.Budget) || len(v.Attempts) >= maxAttempts {
				t.Fatal("an attempt that is not affordable")
			}
			if !v.Idempotent && !certain {
				t.Fatal("a non-idempotent request may run twice")
			}
		case ActionWait:
			if !live {
				t.Fatal("a request is held although nothing can answer it")
			}
			if !d.At.After(v.Now) {
				t.Fatal("a wait that ends at once repeats for ever")
			}
		}
	})
}
