package gateway

import (
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

const (
	// recentInterval is the resolution in time of recentJobs, and recentIntervals the number of intervals that it keeps.
	recentInterval  = 100 * time.Millisecond
	recentIntervals = 128
	// inputLag is how long after its acceptance a job may be missing from a summary, since the owner reads it from the store.
	inputLag = 2 * time.Second
)

// recentJobs sums up the jobs that this gateway has accepted recently, which the newest summary may lack. It keeps sums for intervals
// that together are longer than admission.MaxHeldAge and inputLag.
type recentJobs struct {
	mu    sync.Mutex
	began time.Time
	// storing is the footprint of the jobs that are being stored.
	storing admission.Grant
	// waiting is the footprint of the jobs that have not been decided on yet.
	waiting   admission.Grant
	intervals [recentIntervals]recentSums
}

// recentSums holds the sums of one interval, which has the given number.
type recentSums struct {
	number int64
	// tasks is the footprint of the jobs that were stored in the interval.
	tasks admission.Grant
	// work and demand are those of the jobs of which the submission began in the interval.
	work   map[workKey]float64
	demand map[string]int64
}

// workKey distinguishes work by what it comes before.
type workKey struct {
	pool     string
	priority int
	class    int
}

func newRecentJobs(now time.Time) *recentJobs { return &recentJobs{began: now} }

func (r *recentJobs) numberOf(t time.Time) int64 { return int64(t.Sub(r.began) / recentInterval) }

// at returns the sums of the interval that contains a time, or nil if they are no longer kept. The caller holds the lock.
func (r *recentJobs) at(t time.Time) *recentSums {
	number := r.numberOf(t)
	s := &r.intervals[uint64(number)%recentIntervals]
	switch {
	case s.number > number:
		return nil
	case s.number < number || s.work == nil:
		*s = recentSums{number: number, work: map[workKey]float64{}, demand: map[string]int64{}}
	}
	return s
}

// beginWait counts a job that is to be decided on, until endWait.
func (r *recentJobs) beginWait(request *admission.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = r.waiting.Add(admission.GrantOf(request))
}

func (r *recentJobs) endWait(request *admission.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = r.waiting.Sub(admission.GrantOf(request))
}

// footprint returns the footprint of the jobs that have been accepted lately, are being stored or have not been decided on yet.
func (r *recentJobs) footprint(now time.Time) admission.Grant {
	accepted := r.tasksSince(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return accepted.Add(r.waiting)
}

// begin counts a job that is about to be stored.
func (r *recentJobs) begin(q *workflow.Queue, request *admission.Request, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storing = r.storing.Add(admission.GrantOf(request))
	r.addWork(q, request, now, 1)
}

// end counts a job as stored, or no longer if it certainly was not stored now.
func (r *recentJobs) end(q *workflow.Queue, request *admission.Request, begun, now time.Time, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storing = r.storing.Sub(admission.GrantOf(request))
	if !stored {
		r.addWork(q, request, begun, -1)
	} else if s := r.at(now); s != nil {
		s.tasks = s.tasks.Add(admission.GrantOf(request))
	}
}

func (r *recentJobs) addWork(q *workflow.Queue, request *admission.Request, begun time.Time, sign int64) {
	if s := r.at(begun); s != nil {
		s.work[workKey{q.Pool, q.Priority, admission.SizeClass(request.Work)}] += float64(sign) * request.ReadyWork
		s.demand[q.Pool] += sign * request.Demand
	}
}

// tasksSince returns the footprint of the jobs that a summary may lack that was taken after the given time, rounded up.
func (r *recentJobs) tasksSince(takenAfter time.Time) admission.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, total := r.numberOf(takenAfter.Add(-inputLag)), r.storing
	for i := range r.intervals {
		if s := &r.intervals[i]; s.number >= first {
			total = total.Add(s.tasks)
		}
	}
	return total
}

// loadSince returns the work that comes before a job, and the CPU that can be used at once in its pool, of the jobs that a summary
// certainly lacks that was taken before the given time, rounded down.
func (r *recentJobs) loadSince(takenBefore time.Time, q *workflow.Queue, class int) (work float64, demand int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.numberOf(takenBefore) + 1
	for i := range r.intervals {
		s := &r.intervals[i]
		if s.number < first {
			continue
		}
		demand += s.demand[q.Pool]
		for key, sum := range s.work {
			if key.pool == q.Pool && (key.priority < q.Priority || key.priority == q.Priority && key.class <= class) {
				work += sum
			}
		}
	}
	return work, demand
}
