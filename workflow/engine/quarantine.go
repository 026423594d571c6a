package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
)

const (
	// failureWindow is how long a failure counts against an executor.
	failureWindow = 10 * time.Second
	// quarantineBackoff is how long a failing executor gets no tasks. It doubles, up to maxQuarantineBackoff, each time
	// the single probe task that follows fails as well.
	quarantineBackoff    = 1500 * time.Millisecond
	maxQuarantineBackoff = 6 * time.Second
	// probeTimeout is how long a probe task may run before another one is tried.
	probeTimeout = 4 * time.Second
)

// newQuarantine returns the model that distinguishes failing executors from failing jobs. Executors fail for seconds at
// a time and jobs run for seconds, so the periods are short.
func newQuarantine() *quarantine.Model {
	return quarantine.New(quarantine.Config{
		Window: failureWindow, Backoff: quarantineBackoff, MaxBackoff: maxQuarantineBackoff, ProbeTimeout: probeTimeout,
		StreakPause: quarantineBackoff, MaxStreakPause: maxQuarantineBackoff,
	})
}

// Quarantined returns the names of the nodes whose executors get no tasks, or only a probe task, since their tasks
// failed.
func (e *Engine) Quarantined(now time.Time) []string {
	var names []string
	for name := range e.nodes {
		if e.quarantine.Admits(name, now) != quarantine.AdmitAll {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
