package soak

import (
	"path/filepath"
	"testing"
)

// testLife returns a life of an executor without a process beside it. Its lock is held until the test ends, so that its runs don't
// end by themselves.
func testLife(t *testing.T, service serviceKind, labels ...string) *life {
	x := testExecutor(t, service)
	l := newLife(x)
	l.labels = labels
	x.begin(l)
	x.mu.Lock()
	t.Cleanup(x.mu.Unlock)
	return l
}

func testExecutor(t *testing.T, service serviceKind) *executor {
	record, err := openJournal(filepath.Join(t.TempDir(), "journal.txt"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(record.close)
	f := &fleet{record: record, oracle: newOracle(record)}
	f.oracle.nameService("/lint/", firstService)
	x := &executor{fleet: f, service: service, lastID: "i-1"}
	t.Cleanup(func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.life = nil
	})
	return x
}

func (l *life) startTasks(tasks ...string) {
	for _, task := range tasks {
		l.startRun(&orderBody{Task: task, Run: 1, DeadlineMs: l.clock() + holdMax.Milliseconds(), FencingToken: 1})
	}
}

var openService = serviceKind{name: firstService, cpu: 1000}

// Guards against an oracle that overlooks starts where they may not be.
func TestOracleFindsWrongPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		service serviceKind
		rule    stepRule
		tasks   []string
		broken  ruleName
	}{
		"beyond the limit":     {service: openService, rule: stepRule{limit: 1}, tasks: []string{"a1.0.0.0", "a1.0.0.1"}, broken: ruleRoute},
		"copies beyond it":     {service: openService, rule: stepRule{limit: 1, copied: true}, tasks: []string{"a1.0.0.0", "a1.0.0.1"}, broken: ruleRoute},
		"at the limit":         {service: openService, rule: stepRule{limit: 2}, tasks: []string{"a1.0.0.0", "a1.0.0.1"}},
		"another occurrence":   {service: openService, rule: stepRule{limit: 1}, tasks: []string{"a1.0.0.0", "a1.1.0.0"}},
		"without the label":    {service: openService, rule: stepRule{label: "c"}, tasks: []string{"a1.0.0.0"}, broken: ruleRoute},
		"with the label":       {service: openService, rule: stepRule{label: "a"}, tasks: []string{"a1.0.0.0"}},
		"service never named":  {service: serviceKind{name: secondService, cpu: 1000}, tasks: []string{"a1.0.0.0"}, broken: ruleRoute},
		"beyond the capacity":  {service: openService, tasks: []string{"a1.0.0.0", "a1.0.0.1", "a1.0.0.2"}, broken: ruleLimit},
		"rejected for no room": {service: serviceKind{name: firstService, cpu: 1000, guarded: true}, tasks: []string{"a1.0.0.0", "a1.0.0.1", "a1.0.0.2"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := testLife(t, c.service, "a")
			o := l.x.fleet.oracle
			o.setRule(stepName{"a1", "0"}, c.rule)
			l.startTasks(c.tasks...)
			found := o.findings()
			if c.broken == "" && len(found) > 0 {
				t.Errorf("found %v", found)
			}
			if c.broken != "" && (len(found) != 1 || found[0].rule != c.broken || found[0].start.task != c.tasks[len(c.tasks)-1]) {
				t.Errorf("found %v, want %s of the last start", found, c.broken)
			}
		})
	}
}

// Guards against an oracle that counts runs no longer, or longer, than they are there.
func TestOracleCountsRunsUntilTheyEnd(t *testing.T) {
	l := testLife(t, openService, "a")
	o := l.x.fleet.oracle
	o.setRule(stepName{"a1", "0"}, stepRule{limit: 1})
	l.startTasks("a1.0.0.0")
	first := l.running["a1.0.0.0"]
	first.stopping = true
	o.stopped(l, first)
	l.startTasks("a1.0.0.1")
	if found := o.findings(); len(found) != 1 || len(found[0].beside) != 1 || found[0].beside[0].task != "a1.0.0.0" {
		t.Errorf("found %v beside a run that is being stopped", found)
	}
	l.endRun(first, "stopped")
	l.endRun(l.running["a1.0.0.1"], "done")
	l.startTasks("a1.0.0.2")
	if found := o.findings(); len(found) != 1 {
		t.Errorf("found %v after the ends", found)
	}
}

// Guards against an oracle that takes the next run of a task that lasts for a second one, or overlooks that of an ordinary task, and one that
// overlooks a job that lasts and is shown as ended, or a start of a job that was said not to exist.
func TestOracleKnowsTasksThatLast(t *testing.T) {
	for lasts, want := range map[bool]ruleName{false: ruleTwice, true: ruleLost} {
		l := testLife(t, openService, "a")
		o := l.x.fleet.oracle
		o.setRule(stepName{"a1", "0"}, stepRule{lasts: lasts})
		l.startTasks("a1.0.0.0")
		l.endRun(l.running["a1.0.0.0"], "done")
		o.acknowledged(l, l.number)
		l.startRun(&orderBody{Task: "a1.0.0.0", Run: 2, DeadlineMs: l.clock() + holdMax.Milliseconds(), FencingToken: 1})
		o.showEnded("a1", "completed")
		o.deny("a2")
		l.startTasks("a2.0.0.0")
		found := o.findings()
		if len(found) != 2 || found[0].rule != want || found[1].rule != ruleUnasked {
			t.Errorf("lasts %v: found %v, want %s and %s", lasts, found, want, ruleUnasked)
		}
	}
}
