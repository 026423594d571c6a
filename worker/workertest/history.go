package workertest

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// maxHistoryIntervals is the maximum number of ended intervals in the history; later ones are dropped.
const maxHistoryIntervals = 100_000

// RunInterval is a time interval in which a task ran without interruption.
type RunInterval struct {
	AllocationID string            `json:"allocation_id"`
	Annotations  map[string]string `json:"annotations,omitempty"`
	Resources    structs.Resources `json:"resources"`
	// Resumed is set when the interval began with the resumption of a suspended task, not with a start.
	Resumed      bool   `json:"resumed,omitempty"`
	CheckpointID string `json:"checkpoint_id,omitempty"`
	// FromUnixNano and ToUnixNano are the limits of the interval; ToUnixNano is 0 while the task runs.
	FromUnixNano int64 `json:"from_unix_nano"`
	ToUnixNano   int64 `json:"to_unix_nano,omitempty"`
	// Phase is the phase of the task after the interval, or PhaseRunning while the task runs or when it was removed.
	Phase worker.Phase `json:"phase"`
}

// History returns all intervals in which tasks ran, so that tests can check which tasks ran on which workers at the
// same time.
func (w *Worker) History() []RunInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.updateHistory()
	runs := append([]RunInterval(nil), w.history...)
	for _, t := range w.tasks {
		if !t.runningSince.IsZero() {
			runs = append(runs, t.runInterval(time.Time{}))
		}
	}
	return runs
}

// updateHistory begins and ends intervals after tasks have changed. When a task is removed, the caller ends its
// interval with endInterval.
func (w *Worker) updateHistory() {
	now := w.clock.Now()
	for _, t := range w.tasks {
		switch running := t.phase == worker.PhaseRunning; {
		case running && t.runningSince.IsZero():
			t.runningSince = now
		case !running && !t.runningSince.IsZero():
			end := t.updatedAt
			if t.phase == worker.PhaseStopped {
				end = t.leaseEnd
			}
			w.endInterval(t, end)
		}
	}
}

func (w *Worker) endInterval(t *task, end time.Time) {
	if t.runningSince.IsZero() {
		return
	}
	if len(w.history) < maxHistoryIntervals {
		w.history = append(w.history, t.runInterval(end))
	}
	t.runningSince, t.ranBefore = time.Time{}, true
}

func (t *task) runInterval(end time.Time) RunInterval {
	r := RunInterval{
		AllocationID: t.spec.ID, Annotations: t.spec.Annotations, Resources: t.spec.Resources, Resumed: t.ranBefore,
		CheckpointID: t.spec.CheckpointID, FromUnixNano: t.runningSince.UnixNano(), Phase: t.phase,
	}
	if !end.IsZero() {
		r.ToUnixNano = end.UnixNano()
	}
	return r
}
