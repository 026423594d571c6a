package workflows_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/node"
)

// suspension simulates a host that is suspended while its executor keeps running: its monotonic clock stops, and calls from and to its
// process continue only after it has resumed, with the rest of their time limits.
type suspension struct {
	clocks *clocktest.Host

	mu sync.Mutex
	// resumed is closed unless the host is suspended.
	resumed chan struct{}
	// ended is set once the host is not suspended any more.
	ended bool
}

func newSuspension() *suspension {
	s := &suspension{clocks: clocktest.NewHost(), resumed: make(chan struct{})}
	close(s.resumed)
	return s
}

func (s *suspension) isSuspended() bool {
	select {
	case <-s.resumed:
		return false
	default:
		return true
	}
}

// suspend suspends the host for a time, unless it is suspended already.
func (s *suspension) suspend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.isSuspended() {
		return
	}
	s.resumed = make(chan struct{})
	s.clocks.Suspend()
	time.AfterFunc(d, s.resume)
}

func (s *suspension) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isSuspended() {
		s.clocks.Resume()
		close(s.resumed)
	}
}

// end resumes the host, which is not suspended any more.
func (s *suspension) end() {
	s.resume()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// await waits until the host is not suspended.
func (s *suspension) await() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	<-resumed
}

// call makes a call of the host's process. Its time limit excludes suspensions.
func (s *suspension) call(ctx context.Context, call func(ctx context.Context)) {
	s.await()
	began, beganOnHost := time.Now(), s.clocks.Now()
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.await()
			time.Sleep(time.Since(began) - s.clocks.Now().Sub(beganOnHost))
		}
		cancel()
	})
	defer stop()
	call(running)
	s.await()
}

// handler delays the calls that the host receives.
func (s *suspension) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.await()
		next.ServeHTTP(w, r)
		s.await()
	})
}

// suspendableTransport is the network as seen by a host.
type suspendableTransport struct {
	http.RoundTripper
	suspension *suspension
}

func (t suspendableTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	t.suspension.call(r.Context(), func(ctx context.Context) {
		response, err = t.RoundTripper.RoundTrip(r.WithContext(ctx))
	})
	return response, err
}

// suspendableExecutor is an executor as called by its host.
type suspendableExecutor struct {
	node.Executor
	suspension *suspension
}

func (x suspendableExecutor) Start(ctx context.Context, incarnation string, s node.Start) (err error) {
	x.suspension.call(ctx, func(ctx context.Context) { err = x.Executor.Start(ctx, incarnation, s) })
	return err
}

func (x suspendableExecutor) Stop(ctx context.Context, incarnation, task string, run int, fence int64) (err error) {
	x.suspension.call(ctx, func(ctx context.Context) { err = x.Executor.Stop(ctx, incarnation, task, run, fence) })
	return err
}

func (x suspendableExecutor) Hold(ctx context.Context, incarnation string, fence, ack, deadlineMillis int64, wait time.Duration) (lists *node.RunLists, err error) {
	x.suspension.call(ctx, func(ctx context.Context) {
		lists, err = x.Executor.Hold(ctx, incarnation, fence, ack, deadlineMillis, wait)
	})
	return lists, err
}

func (x suspendableExecutor) Connect(ctx context.Context) (err error) {
	x.suspension.call(ctx, func(ctx context.Context) { err = x.Executor.Connect(ctx) })
	return err
}

// suspendableStore is the store as called by a host.
type suspendableStore struct {
	kv.Store
	suspension *suspension
}

func (s suspendableStore) Get(ctx context.Context, key string) (item kv.Item, found bool, revision int64, err error) {
	s.suspension.call(ctx, func(ctx context.Context) { item, found, revision, err = s.Store.Get(ctx, key) })
	return item, found, revision, err
}

func (s suspendableStore) List(ctx context.Context, prefix string) (items []kv.Item, revision int64, err error) {
	s.suspension.call(ctx, func(ctx context.Context) { items, revision, err = s.Store.List(ctx, prefix) })
	return items, revision, err
}

func (s suspendableStore) Watch(ctx context.Context, prefix string, after int64, timeout time.Duration) (events []kv.Event, revision int64, err error) {
	s.suspension.call(ctx, func(ctx context.Context) { events, revision, err = s.Store.Watch(ctx, prefix, after, timeout) })
	return events, revision, err
}

func (s suspendableStore) Commit(ctx context.Context, t kv.Transaction) (revision int64, err error) {
	s.suspension.call(ctx, func(ctx context.Context) { revision, err = s.Store.Commit(ctx, t) })
	return revision, err
}

func (s suspendableStore) Grant(ctx context.Context, ttl time.Duration) (lease kv.Lease, err error) {
	s.suspension.call(ctx, func(ctx context.Context) { lease, err = s.Store.Grant(ctx, ttl) })
	return lease, err
}

func (s suspendableStore) KeepAlive(ctx context.Context, id int64) (err error) {
	s.suspension.call(ctx, func(ctx context.Context) { err = s.Store.KeepAlive(ctx, id) })
	return err
}

func (s suspendableStore) Revoke(ctx context.Context, id int64) (err error) {
	s.suspension.call(ctx, func(ctx context.Context) { err = s.Store.Revoke(ctx, id) })
	return err
}

var (
	_ node.Executor = suspendableExecutor{}
	_ kv.Store      = suspendableStore{}
)

// otherHost returns a host that isn't the owner.
func (f *fleet) otherHost() *host {
	owner := f.owner()
	for _, h := range f.hosts {
		if h != owner {
			return h
		}
	}
	return nil
}

// lapsingTask is a task on a host whose lease expires.
type lapsingTask struct {
	*host
	incarnation string
	tasks       []string
}

// startLasting submits a job whose tasks run for longer than the lease, and returns a host beside the owner that runs some of them.
func (f *fleet) startLasting() lapsingTask {
	for _, h := range f.hosts {
		h.executor.SetDuration(longTaskTime)
	}
	f.submit(2 * len(f.hosts))
	time.Sleep(2 * time.Second)
	h := f.otherHost()
	description, _ := h.executor.Describe()
	incarnation := description.IncarnationID()
	return lapsingTask{h, incarnation, f.checker.tasksOn(incarnation)}
}

// Guards against a task that runs twice because its node prolongs the lease by the time of a suspension: the host was suspended for
// less than the lease, and cut off from the owner afterwards.
func TestLeaseEndsWhenHostWasSuspendedAndCutOff(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		h := f.startLasting()
		f.Assert(len(h.tasks) > 0, qt.IsTrue)
		h.suspension.suspend(4 * time.Second)
		f.network.SetPartitioned(h.name, true)
		f.waitFor(longTaskTime, func() bool { return f.checker.runElsewhere(h.incarnation, h.tasks) })
		f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against a task that runs twice because the lease counts from when the reply to a report is processed, which is after a
// suspension of the host.
func TestLeaseEndsWhenReplyIsProcessedAfterSuspension(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		h := f.startLasting()
		f.Assert(len(h.tasks) > 0, qt.IsTrue)
		for range 3 {
			h.suspension.suspend(5 * time.Second)
			time.Sleep(5*time.Second + holdTime)
		}
		f.waitFor(longTaskTime, func() bool { return f.checker.runElsewhere(h.incarnation, h.tasks) })
		f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
	})
}

// holdTime is how long a host is up between two suspensions: long enough for a call to its executor, but not for a report.
const holdTime = 2 * networkDelay
