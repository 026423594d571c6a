package engine

import "time"

// maxCheckpointBytes is the maximum length of a checkpoint that is kept. An order with a longer one might never reach its node.
const maxCheckpointBytes = 64 << 10

// setSaved sets the newest checkpoint of a task. One that is too long is ignored, so that the task starts from an earlier one.
func (t *task) setSaved(saved string, at time.Time) {
	if saved != t.saved && len(saved) <= maxCheckpointBytes {
		t.saved, t.savedAt = saved, at
	}
}

// newestSaved returns the checkpoint of a group that this owner has learned of last, or the first one in the job's record. Each
// member's checkpoint is valid for the whole gang, and all members have to start with the same one.
func (g *group) newestSaved() string {
	var newest *task
	for _, t := range g.tasks {
		if t.saved != "" && (newest == nil || t.savedAt.After(newest.savedAt)) {
			newest = t
		}
	}
	if newest == nil {
		return ""
	}
	return newest.saved
}
