package owner

import "time"

// forgottenMargin is how long after the deletion of a job a read of the inputs must have been sent to be certain not to contain
// it. It exceeds the time by which the responses to watches may be out of date.
const forgottenMargin = 10 * time.Second

// forgottenJobs holds the jobs that were deleted until no read of the inputs that was sent before can still arrive.
type forgottenJobs map[string]deletion

// deletion is the deletion of a job.
type deletion struct {
	revision int64
	// storedAt is when the deletion was known to be stored.
	storedAt time.Time
}

// add records that a job was deleted at a revision of the store.
func (f forgottenJobs) add(id string, revision int64, now time.Time) { f[id] = deletion{revision, now} }

// covers reports whether an input of a job was written before the job was deleted. A job that is submitted again after its
// deletion is a new one.
func (f forgottenJobs) covers(id string, revision int64) bool {
	d, found := f[id]
	return found && revision <= d.revision
}

// prune removes the jobs that a read sent at the given time can't contain. All reads sent before it have been applied.
func (f forgottenJobs) prune(sentAt time.Time) {
	for id, d := range f {
		if sentAt.Sub(d.storedAt) >= forgottenMargin {
			delete(f, id)
		}
	}
}
