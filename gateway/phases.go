package gateway

import (
	"sync"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxCachedPhases limits the number of final phases that are cached.
const maxCachedPhases = 20000

// finalPhases caches the phases of jobs that have ended, which never change.
type finalPhases struct {
	mu    sync.Mutex
	byJob map[string]workflow.Phase
}

func newFinalPhases() *finalPhases { return &finalPhases{byJob: map[string]workflow.Phase{}} }

func (p *finalPhases) find(id string) (workflow.Phase, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	phase, ok := p.byJob[id]
	return phase, ok
}

func (p *finalPhases) add(id string, phase workflow.Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byJob) >= maxCachedPhases {
		clear(p.byJob)
	}
	p.byJob[id] = phase
}
