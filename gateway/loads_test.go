package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/test/rapidtest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "nofailfile": "true"})
}

func summaryOf(epoch, sequence int64, queue string) admission.Summary {
	return admission.Summary{Epoch: epoch, Sequence: sequence, Queue: queue, HasLoad: queue != ""}
}

// Guards against stale messages that replace newer ones, and against summaries of a former owner that are used after a change.
func TestNewerSummariesStay(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := newLoads()
	l.markActive("a", now)
	l.markActive("b", now)
	l.receive(summaryOf(2, 5, "a"), now, now)
	l.receive(summaryOf(2, 4, "a"), now, now)
	l.receive(summaryOf(1, 9, "b"), now, now)
	load, newest := l.current("a", 2)
	c.Assert(load.Sequence, qt.Equals, int64(5))
	c.Assert(newest.Sequence, qt.Equals, int64(5))
	load, newest = l.current("b", 2)
	c.Assert(load, qt.IsNil)
	c.Assert(newest.Sequence, qt.Equals, int64(5))
	load, newest = l.current("a", 3)
	c.Assert(load, qt.IsNil)
	c.Assert(newest, qt.IsNil)
	l.receive(summaryOf(3, 1, ""), now, now)
	load, newest = l.current("a", 3)
	c.Assert(load, qt.IsNil)
	c.Assert(newest.Epoch, qt.Equals, int64(3))
}

// Guards against ages that are too low, so that a stale summary counts: the summary was taken some time before it was sent, and its way
// may have taken the whole time since the request.
func TestAgeCountsFromRequest(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := newLoads()
	l.markActive("a", now)
	s := summaryOf(1, 1, "a")
	s.Age = 300 * time.Millisecond
	l.receive(s, now, now.Add(200*time.Millisecond))
	load, _ := l.current("a", 1)
	c.Assert(load.age(now.Add(time.Second)), qt.Equals, 1301*time.Millisecond)
	c.Assert(load.takenBefore, qt.Equals, now.Add(-100*time.Millisecond))
}

// Guards against a queue that is never queried, and against requests for summaries without submissions.
func TestQueueWithOldestSummaryIsNext(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := newLoads()
	_, ok := l.nextQueue(now)
	c.Assert(ok, qt.IsFalse)
	for _, name := range []string{"a", "b", "c"} {
		l.markActive(name, now)
	}
	for i, want := range []string{"a", "b", "c", "a", "b"} {
		at := now.Add(time.Duration(i) * time.Millisecond)
		name, _ := l.nextQueue(at)
		c.Assert(name, qt.Equals, want)
		l.receive(summaryOf(1, int64(i), name), at, at)
	}
	_, ok = l.nextQueue(now.Add(activeWindow + time.Second))
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.queues, qt.HasLen, 0)
}

// Guards against more than one query at a time, against queries in quick succession, and against queries to owners without summaries.
func TestQueriesAreLimited(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := newLoads()
	queryDone, isFirst := l.beginQuery("a", time.Second, now)
	c.Assert(isFirst, qt.IsTrue)
	other, isFirst := l.beginQuery("a", time.Second, now)
	c.Assert(isFirst, qt.IsFalse)
	c.Assert(other, qt.Equals, queryDone)
	l.endQuery("a", queryDone)
	<-other
	other, _ = l.beginQuery("a", time.Second, now.Add(999*time.Millisecond))
	c.Assert(other, qt.IsNil)
	queryDone, _ = l.beginQuery("a", time.Second, now.Add(time.Second))
	c.Assert(queryDone, qt.IsNotNil)
	l.recordNoSummary(now.Add(time.Second))
	l.endQuery("a", queryDone)
	other, _ = l.beginQuery("a", time.Second, now.Add(10*time.Second))
	c.Assert(other, qt.IsNil)
}

// recentJob is a job of the oracle for recentJobs.
type recentJob struct {
	request    admission.Request
	queue      workflow.Queue
	begun, end time.Time
	stored     bool
}

// Guards against jobs that are lost between two summaries, and against work that counts twice: the footprint of recent jobs must not be
// lower than that of the jobs that a summary may lack, and their work not higher than that of those that it certainly lacks.
func TestRecentJobsBoundWhatSummariesLack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := newRecentJobs(now)
		var jobs []recentJob
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 700).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "begins") {
				j := recentJob{
					request: admission.Request{Tasks: rapid.IntRange(1, 300).Draw(t, "tasks"), Work: 1, ReadyWork: 1, Demand: 10},
					queue:   workflow.Queue{Pool: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}, begun: now,
				}
				r.begin(&j.queue, &j.request, now)
				jobs = append(jobs, j)
			} else if len(jobs) > 0 {
				if j := &jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "job")]; j.end.IsZero() {
					j.end, j.stored = now, rapid.Bool().Draw(t, "stored")
					r.end(&j.queue, &j.request, j.begun, now, j.stored)
				}
			}
			taken := now.Add(-time.Duration(rapid.Int64Range(0, int64(admission.MaxHeldAge/time.Millisecond)).Draw(t, "age")) * time.Millisecond)
			checkRecent(t, r, jobs, taken)
		}
	})
}

func checkRecent(t *rapid.T, r *recentJobs, jobs []recentJob, taken time.Time) {
	q := workflow.Queue{Pool: "a", Priority: 1}
	least, work, demand := admission.Grant{}, 0.0, int64(0)
	for _, j := range jobs {
		if j.end.IsZero() || j.stored && !j.end.Before(taken.Add(-inputLag)) {
			least = least.Add(admission.GrantOf(&j.request))
		}
		if (j.end.IsZero() || j.stored) && j.begun.After(taken) && j.queue.Pool == q.Pool {
			demand += j.request.Demand
			if j.queue.Priority <= q.Priority {
				work += j.request.ReadyWork
			}
		}
	}
	tasks := r.tasksSince(taken)
	if tasks.Small < least.Small || tasks.Large < least.Large {
		t.Fatalf("%v counted, at least %v may be missing", tasks, least)
	}
	// A job of which the submission began long ago has left the sums again.
	gotWork, gotDemand := r.loadSince(taken, &q, 0)
	if gotWork > work || gotDemand > demand || gotWork < 0 || gotDemand < 0 {
		t.Fatalf("work %v and demand %v counted, at most %v and %v are missing", gotWork, gotDemand, work, demand)
	}
}
