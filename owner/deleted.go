package owner

import "time"

// deletionMargin is how long after the deletion of a job a read of the inputs must have been sent to be certain not to contain
// it. It exceeds the time by which the responses to watches may be out of date.
const deletionMargin = 10 * time.Second

// deletedJobs holds the jobs that were deleted until no read of the inputs that was sent before can still arrive.
type deletedJobs map[string]deletion

// deletion is the deletion of a job.
type deletion struct {
	revision int64
	// storedAt is when the deletion was known to be stored.
	storedAt time.Time
}

// add records that a job was deleted at a revision of the store, and when that was known to be stored.
func (j deletedJobs) add(id string, revision int64, storedAt time.Time) {
	j[id] = deletion{revision, storedAt}
}

// precedesDeletion reports whether an input of a job was written before the job was deleted. A job that is submitted again
// after its deletion is a new one.
func (j deletedJobs) precedesDeletion(id string, revision int64) bool {
	d, found := j[id]
	return found && revision <= d.revision
}

// expire removes the jobs that a read sent at the given time can't contain. All reads sent before it have been applied.
func (j deletedJobs) expire(sentAt time.Time) {
	for id, d := range j {
		if sentAt.Sub(d.storedAt) >= deletionMargin {
			delete(j, id)
		}
	}
}
