package workflows_test

import (
	"context"
	"sync"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// operators provides what operators configure of a fleet.
type operators struct {
	checker *invariantChecker

	mu    sync.Mutex
	state owner.OperatorState
	// changed is closed when the state changes.
	changed chan struct{}
}

func newOperators(checker *invariantChecker) *operators {
	o := &operators{checker: checker, state: owner.OperatorState{Config: &workflow.Config{}}, changed: make(chan struct{})}
	o.configure(testQueue)
	return o
}

// configure sets the queues of the next version of the configuration.
func (o *operators) configure(queues ...workflow.Queue) {
	o.checker.recordConfigured(queues)
	o.change(func(s *owner.OperatorState) {
		s.Config = &workflow.Config{
			Version: s.Config.Version + 1, Queues: queues, Pools: []workflow.Pool{{Name: "pool", Guarded: true}, {Name: otherPool}},
		}
	})
}

func (o *operators) change(change func(*owner.OperatorState)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.state)
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *operators) current() (owner.OperatorState, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state, o.changed
}

// Follow implements owner.OperatorSource.
func (o *operators) Follow(ctx context.Context, apply func(owner.OperatorState)) {
	for {
		state, changed := o.current()
		apply(state)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
