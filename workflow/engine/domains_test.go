package engine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against losing all executors without serving tasks at once: when their failure domain is evacuated or lost, the images
// that disturb serving tasks everywhere else can't be placed.
func TestFreeExecutorsAreSpreadOverDomains(t *testing.T) {
	h := newHarness(t)
	hosts := map[string]*workflow.Executor{}
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", domain, i)
			x := executor(name, 1)
			x.FailureDomain = domain
			hosts[name] = x
		}
	}
	reportAll := func() {
		for name, x := range hosts {
			h.report(name, x, nil, nil)
		}
	}
	reportAll()
	h.now = h.now.Add(1900 * time.Millisecond)
	reportAll()
	h.engine.Add(h.job(servingStep(24, 100)), nil, h.now, h.now)
	used := map[string]int{}
	for name := range h.plan() {
		used[hosts[name].FailureDomain]++
	}
	h.Assert(used, qt.DeepEquals, map[string]int{"a": 2, "b": 2, "c": 2})
}
