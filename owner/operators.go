package owner

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// OperatorSource provides the state that operators configure.
type OperatorSource interface {
	// Follow calls apply with the current state and with each change until ctx ends.
	Follow(ctx context.Context, apply func(OperatorState))
}

// OperatorState is the state that operators have configured.
type OperatorState struct {
	// Config is the newest configuration, or nil if none was received yet.
	Config *workflow.Config
	// Evacuated lists the failure domains in which no tasks are started.
	Evacuated []string
}

// applyOperatorState queues the application of a state that operators have configured.
func (t *term) applyOperatorState(ctx context.Context, state OperatorState) {
	apply := func(now, wall time.Time) func() {
		if state.Config != nil && state.Config.Version != t.engine.ConfigVersion() {
			taken := t.engine.Configure(state.Config)
			t.log.Info("configuration received", "version", state.Config.Version, "in_force", t.engine.ConfigVersion(), "taken", taken)
		}
		t.engine.SetEvacuated(state.Evacuated)
		return nil
	}
	select {
	case t.events <- apply:
	case <-ctx.Done():
	}
}
