package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quetzalshed/quetzalshed/platform/platformtest"
)

// threeHosts is a deployment with one executor in each zone.
func threeHosts() []host {
	return []host{{"z1", []string{"a", "r1-1"}}, {"z2", []string{"a", "r2-1"}}, {"z3", []string{"a", "r3-1"}}}
}

// spansOf returns all runs of a task on any executor.
func (d *deployment) spansOf(task string) []runSpan {
	var all []runSpan
	for _, x := range d.executors {
		all = append(all, x.spansOf(task)...)
	}
	return all
}

// runs reports whether a run of the task is at work now.
func (d *deployment) runs(task string) bool {
	for _, s := range d.spansOf(task) {
		if s.end.IsZero() {
			return true
		}
	}
	return false
}

// hasEnded reports whether a run of the task has ended in a way.
func (d *deployment) hasEnded(task, how string) bool {
	for _, s := range d.spansOf(task) {
		if s.how == how {
			return true
		}
	}
	return false
}

// await waits until f holds, and reports whether it did in time.
func await(limit time.Duration, f func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// overlap returns a description of two runs of a task that were at work at the same time; empty if there are none.
func (d *deployment) overlap(task string) string {
	spans, now := d.spansOf(task), time.Now()
	end := func(s runSpan) time.Time {
		if s.end.IsZero() {
			return now
		}
		return s.end
	}
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			from, to := a.start, end(a)
			if b.start.After(from) {
				from = b.start
			}
			if end(b).Before(to) {
				to = end(b)
			}
			if to.After(from) {
				return fmt.Sprintf("run %d on %s and run %d on %s for %.1f s", a.run, a.executor, b.run, b.executor, to.Sub(from).Seconds())
			}
		}
	}
	return ""
}

const (
	// finishTime is how long after the end of the traffic accepted jobs are asked for.
	finishTime = 14 * time.Second
	// standstillTime and standstillGrace are those of rule LOST for a task that lasts: 3 s without a run, from 6 s after its last run.
	standstillTime  = 3 * time.Second
	standstillGrace = 6 * time.Second
)

// lastingTaskEndsDone plays a job of three tasks that last. All of them end once: as done, or without trouble as failed.
func lastingTaskEndsDone(d *deployment, trouble bool) (verdict, error) {
	const id, prefix = "5c0e7a21d94b36f8", "/pule252/"
	tasks, how := []string{id + ".0.0.0", id + ".0.0.1", id + ".0.0.2"}, "failed"
	if trouble {
		how = "done"
	}
	d.behaviour = func(_ string, run int) (time.Duration, string) {
		if run == 1 {
			return 5 * time.Second, how
		}
		return 0, ""
	}
	if err := d.start(threeHosts()); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	if !c.submit(prefix, id, "price watch", step{"count": 3, "cpu": 3200, "memMb": 6400, "longRunning": true}) {
		return verdict{}, fmt.Errorf("the job is not accepted")
	}
	all := func(f func(task string) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(tasks, func(task string) bool { return !f(task) }) }
	}
	if !await(20*time.Second, all(func(task string) bool { return d.hasEnded(task, how) })) {
		return verdict{}, fmt.Errorf("the tasks don't run and end")
	}
	limit := standstillGrace + standstillTime + contactTime
	if await(limit, all(d.runs)) {
		return verdict{text: fmt.Sprintf("the tasks that ended %s run again, the job is %q", how, c.state(prefix, id))}, nil
	}
	return verdict{true, fmt.Sprintf("LOST: tasks that last and ended %s have no run for %v, the job is %q", how, limit, c.state(prefix, id))}, nil
}

// cancelledBeforeLateWrite plays a client that gives up a submission whose write the store answers not at all and executes late, and
// that then cancels the job.
func cancelledBeforeLateWrite(d *deployment, trouble bool) (verdict, error) {
	const id, prefix, lateBy = "a1b2c3d4e5f60718", "/pule252/", 5 * time.Second
	var executedAt atomic.Int64
	d.behaviour = func(string, int) (time.Duration, string) { return 0, "" }
	if trouble {
		var wasLost atomic.Bool
		d.wrapStore = func(store http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				again := func() *http.Request {
					copied := r.Clone(r.Context())
					copied.Body = io.NopCloser(bytes.NewReader(body))
					return copied
				}
				if r.URL.Path != "/v1/kv-txn" || !bytes.Contains(body, []byte(id)) || wasLost.Swap(true) {
					store.ServeHTTP(w, again())
					return
				}
				d.record.addf("store: a write is left unanswered and executed %v later", lateBy)
				late := httptest.NewRequest(http.MethodPost, r.URL.String(), bytes.NewReader(body))
				time.AfterFunc(lateBy, func() {
					answer := httptest.NewRecorder()
					store.ServeHTTP(answer, late)
					executedAt.Store(time.Now().UnixNano())
					d.record.addf("store: the late write is executed: %d", answer.Code)
				})
				platformtest.LeaveUnanswered(r)
			})
		}
	}
	if err := d.start(threeHosts()); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	steps := []step{{"count": 2, "cpu": 3200, "memMb": 6400, "longRunning": true}}
	d.expect(id, steps)
	if trouble {
		// The client leaves before its time limit.
		c.leaveAfter = 400 * time.Millisecond
	}
	c.call(http.MethodPost, prefix+id, map[string]any{"spec": "price watch", "steps": steps}, clientDeadline)
	c.leaveAfter = 0
	if !trouble {
		await(5*time.Second, func() bool { return d.runs(id + ".0.0.0") })
	}
	status, _ := c.call(http.MethodDelete, prefix+id, nil, clientDeadline)
	acked := time.Now()
	if status/100 != 2 && status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancellation is answered %d", status)
	}
	time.Sleep(lateBy + 2*contactTime + cancelTime + stopTime)
	state := c.state(prefix, id)
	for _, task := range []string{id + ".0.0.0", id + ".0.0.1"} {
		for _, s := range d.spansOf(task) {
			if s.start.Sub(acked) > cancelTime {
				return verdict{true, fmt.Sprintf("UNASKED: the cancellation was answered %d, %s starts %.1f s later and still runs %.1f s later, the job is %q",
					status, task, s.start.Sub(acked).Seconds(), time.Since(acked).Seconds(), state)}, nil
			}
		}
		if d.runs(task) {
			return verdict{true, "UNASKED: " + task + " runs on after the cancellation"}, nil
		}
	}
	return verdict{text: fmt.Sprintf("the cancellation was answered %d, nothing runs, the job is %q", status, state)}, nil
}

// manyStartsAtOnce plays jobs that need an executor whose zone is out of service, and that all start once it is taken back.
func manyStartsAtOnce(d *deployment, trouble bool) (verdict, error) {
	const prefix, jobs, perSecond = "/pufi791/", 395, 7
	d.behaviour = func(string, int) (time.Duration, string) { return 500 * time.Millisecond, "done" }
	hosts := threeHosts()
	hosts[0].labels[0] = "b"
	if err := d.start(hosts); err != nil {
		return verdict{}, err
	}
	if trouble {
		d.record.addf("operator: zone z1 is evacuated")
		d.store.Put("op/evacuate/z1", map[string]any{})
		time.Sleep(time.Second)
	}
	c := newClient(d)
	spec := cutList()
	accepted := make(chan string, jobs)
	var pending atomic.Int32
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := range jobs {
		<-tick.C
		pending.Add(1)
		go func() {
			defer pending.Add(-1)
			id := fmt.Sprintf("%016x", 0xd000000+i)
			if c.submit(prefix, id, spec, step{"count": 1, "cpu": 10, "memMb": 16, "estimatedMs": 500, "requirements": "b"}) {
				accepted <- id
			}
		}()
	}
	await(10*time.Second, func() bool { return pending.Load() == 0 })
	close(accepted)
	if trouble {
		d.record.addf("operator: zone z1 is taken back")
		d.store.Delete("op/evacuate/z1")
	}
	var ids []string
	for id := range accepted {
		ids = append(ids, id)
	}
	back := time.Now()
	waiting := func() (count int) {
		for _, id := range ids {
			if len(d.spansOf(id+".0.0.0")) == 0 {
				count++
			}
		}
		return count
	}
	await(finishTime+standstillTime, func() bool { return waiting() == 0 })
	left := waiting()
	text := fmt.Sprintf("%d jobs accepted, %d of them have not started %.1f s after the last one was accepted and the zone is in service", len(ids), left, time.Since(back).Seconds())
	if left > 0 {
		text = "LOST: " + text
	}
	return verdict{left > 0, text}, nil
}

// cutList returns the specification of a job: a table of 4,000 bytes.
func cutList() string {
	const cell = `<td>7</td>`
	return strings.Repeat(cell, 4000/len(cell))
}

// crashesCountAsAttempts plays a job whose only suitable executor crashes again and again, and then stays up.
func crashesCountAsAttempts(d *deployment, trouble bool) (verdict, error) {
	const id, prefix, takes = "c0ffee0123456789", "/pufi791/", 3 * time.Second
	d.behaviour = func(string, int) (time.Duration, string) { return takes, "done" }
	hosts := threeHosts()
	hosts[0].labels[0] = "b"
	for i := range 4 {
		hosts = append(hosts, host{hosts[i%3].zone, []string{"a", "r4-1"}})
	}
	if err := d.start(hosts); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	if !c.submit(prefix, id, "drawing", step{"count": 1, "cpu": 1800, "memMb": 3200, "estimatedMs": takes.Milliseconds(), "requirements": "b"}) {
		return verdict{}, fmt.Errorf("the job is not accepted")
	}
	x, task := d.executors[0], id+".0.0.0"
	if trouble {
		// The executor goes down and up by turns: up for 3 s, down for 1.5 s.
		for range 5 {
			time.Sleep(2500 * time.Millisecond)
			x.end("crashes")
			time.Sleep(1500 * time.Millisecond)
			if err := x.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	state := ""
	await(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = c.state(prefix, id)
		return state == "completed" || state == "failed"
	})
	failed := 0
	for _, s := range d.spansOf(task) {
		if s.how == "failed" {
			failed++
		}
	}
	text := fmt.Sprintf("the job is %q after %d runs, of which %d ended failed", state, len(d.spansOf(task)), failed)
	if state != "completed" {
		text = "LOST: " + text
	}
	return verdict{state != "completed", text}, nil
}

// drainingExecutorCutOff plays an executor that drains and is cut off meanwhile, with refused connections, while it runs on.
func drainingExecutorCutOff(d *deployment, trouble bool) (verdict, error) {
	const id, prefix = "0dd0123456789abc", "/pufi791/"
	d.behaviour = func(string, int) (time.Duration, string) { return 20 * time.Second, "done" }
	if err := d.start(threeHosts()); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	if !c.submit(prefix, id, "drawing", step{"count": 1, "cpu": 1800, "memMb": 3200, "estimatedMs": 20000}) {
		return verdict{}, fmt.Errorf("the job is not accepted")
	}
	task := id + ".0.0.0"
	if !await(10*time.Second, func() bool { return d.runs(task) }) {
		return verdict{}, fmt.Errorf("the task doesn't start")
	}
	var x *executor
	for _, other := range d.executors {
		if len(other.spansOf(task)) > 0 {
			x = other
		}
	}
	time.Sleep(time.Second)
	x.drain(12 * time.Second)
	time.Sleep(time.Second)
	if trouble {
		x.cut(true)
		time.Sleep(5 * time.Second)
		x.cut(false)
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(6 * time.Second)
	if both := d.overlap(task); both != "" {
		return verdict{true, "TWICE: " + both}, nil
	}
	return verdict{text: "no two runs at the same time"}, nil
}

// drain announces the planned end of the executor.
func (x *executor) drain(remaining time.Duration) {
	x.mu.Lock()
	x.draining, x.remaining = true, remaining
	l := x.life
	x.mu.Unlock()
	acknowledged := l.announce()
	x.deployment.record.addf("executor %s drains, acknowledged: %v", l.id, acknowledged)
}

// cut cuts the executor off, so that connections to it are refused while it runs on, or ends that.
func (x *executor) cut(isCut bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isCut = isCut
	x.deployment.record.addf("executor %s is cut off: %v", x.name, isCut)
	if isCut {
		_ = x.server.Close()
		return
	}
	if listener, err := net.Listen("tcp", x.address); err == nil {
		x.serve(listener)
	}
}

// gangFailsOnce plays a gang of two tasks on a worker that fails all that it starts.
func gangFailsOnce(d *deployment, trouble bool) (verdict, error) {
	const id, prefix = "9a9a0123456789ab", "/lohu930/"
	var isGrey atomic.Bool
	isGrey.Store(trouble)
	d.behaviour = func(string, int) (time.Duration, string) {
		if isGrey.Load() {
			return 20 * time.Millisecond, "failed"
		}
		return time.Second, "done"
	}
	hosts := threeHosts()
	hosts[0].labels[0] = "b"
	if err := d.start(hosts); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	if !c.submit(prefix, id, "drawing", step{"count": 2, "cpu": 1800, "memMb": 3200, "estimatedMs": 1000, "gang": true, "requirements": "b"}) {
		return verdict{}, fmt.Errorf("the job is not accepted")
	}
	await(10*time.Second, func() bool { return len(d.spansOf(id+".0.0.0")) > 0 })
	time.Sleep(300 * time.Millisecond)
	isGrey.Store(false)
	state := ""
	await(20*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = c.state(prefix, id)
		return state == "completed" || state == "failed"
	})
	text := fmt.Sprintf("the job is %q after %d runs of the gang", state, len(d.spansOf(id+".0.0.0")))
	return verdict{state != "completed", text}, nil
}

// longCheckpoints plays a large job whose tasks save checkpoints of some length, and a small one after it.
func longCheckpoints(d *deployment, trouble bool) (verdict, error) {
	const id, prefix, next = "b1b1000000000001", "/pufi791/", "b1b1000000000002"
	d.checkpoint = func(task string) string {
		if trouble {
			return "https://objects.kathmandu.example/bagmati-quotes/checkpoints/drawing-quote/" + task + "/run-1/00000bb87a21d94b/state.bin?generation=1733583329123456"
		}
		return task[:16]
	}
	d.behaviour = func(string, int) (time.Duration, string) { return 2 * time.Second, "done" }
	d.wrapStore = func(store http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			var t struct {
				Puts []struct {
					Key   string `json:"key"`
					Value []byte `json:"value"`
				} `json:"puts"`
			}
			if r.URL.Path == "/v1/kv-txn" && json.Unmarshal(body, &t) == nil {
				for _, p := range t.Puts {
					if len(p.Value) > 1<<20 {
						d.record.addf("store: a value of %d bytes for %s is refused", len(p.Value), p.Key)
						w.WriteHeader(http.StatusBadRequest)
						return
					}
				}
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			store.ServeHTTP(w, r)
		})
	}
	if err := d.start(threeHosts()); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	if !c.submit(prefix, id, "drawing", step{"count": 5000, "cpu": 8, "memMb": 8, "estimatedMs": 2000, "checkpointing": true}) {
		return verdict{}, fmt.Errorf("the job is not accepted")
	}
	time.Sleep(15 * time.Second)
	if !c.submit(prefix, next, "drawing", step{"count": 1, "cpu": 10, "memMb": 10, "estimatedMs": 500}) {
		return verdict{}, fmt.Errorf("the second job is not accepted")
	}
	var first, second string
	await(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		first, second = c.state(prefix, id), c.state(prefix, next)
		return first == "completed" && second == "completed"
	})
	return verdict{first != "completed" || second != "completed", fmt.Sprintf("the large job is %q, the one after it %q", first, second)}, nil
}
