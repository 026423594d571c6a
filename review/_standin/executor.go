package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of executors, as in the settings of the processes.
const (
	holdMax       = 10 * time.Second
	gangTimeout   = 3 * time.Second
	stopTime      = 50 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	maxEnds       = 500
	savePeriod    = 500 * time.Millisecond
	// drainTime is how long an executor that drains works on, a little longer than the bound drainMs.
	drainTime = 2200 * time.Millisecond
)

// waitsForNewEnd is set if a hold call waits for an end after its arrival even while older ends are listed again. The pages leave
// this open; by default it answers at once.
var waitsForNewEnd = os.Getenv("HOLD") == "new"

// work says what a run does: it ends in the given way after the time.
type work struct {
	takes time.Duration
	how   string
	// gang is the number of tasks that have to be present; 0 if the task isn't part of a gang.
	gang int
	// saves is set if the run has a checkpoint with each savePeriod.
	saves bool
}

// shop is what all executors of a service share: the work that tasks do, and the gangs that gather.
type shop struct {
	rec    *record
	mu     sync.Mutex
	workOf func(executor, task string, run int) work
	needOf func(task string) int64
	gangs  map[string]map[string]*run
	starts []startSeen
	ends   []endSeen
}

type startSeen struct {
	executor, task string
	run            int
	at             time.Time
}

type endSeen struct {
	executor, task, how string
	run                 int
	at                  time.Time
	// listed is set if a response of the executor has contained the end, and acked once the ackCursor has reached it.
	number        int64
	listed, acked bool
}

// executor stands in for the executor of one side host. Each life is lost with its crash.
type executor struct {
	shop    *shop
	name    string
	address string
	control string
	zone    string
	service string
	labels  []string
	cpu     int64
	mem     int64
	mu      sync.Mutex
	life    *life
	lives   int
}

// life is one life of an executor.
type life struct {
	x        *executor
	id       string
	born     time.Time
	server   *http.Server
	done     chan struct{}
	fence    int64
	deadline time.Time
	// draining is set once the executor is to leave.
	draining bool
	running  map[string]*run
	// last is the highest run of a task that was stopped or has ended here.
	last     map[string]int
	ends     []endRow
	number   int64
	sequence int64
	changed  chan struct{}
}

type run struct {
	life    *life
	task    string
	run     int
	work    work
	present time.Time
	begun   time.Time
	// start is the checkpoint that the start carried, saved the newest one before the run has made another.
	start     string
	saved     string
	stopping  bool
	gangTimer *time.Timer
}

type endRow struct {
	number    int64
	task      string
	run       int
	how, save string
}

// start begins a new life.
func (x *executor) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", x.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	x.lives++
	l := &life{
		x: x, id: fmt.Sprintf("i-%s-%d", x.name, x.lives), born: time.Now(), done: make(chan struct{}), running: map[string]*run{},
		last: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", l.order(l.handleStart))
	mux.HandleFunc("POST /v1/run-stop", l.order(l.handleStop))
	mux.HandleFunc("POST /v1/pace", l.order(l.handlePace))
	mux.HandleFunc("POST /v1/hold", l.order(l.handleHold))
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(listener) }()
	x.life = l
	x.shop.rec.addf("executor %s is up as %s", x.name, l.id)
	go l.heartbeats()
	go l.watchLease()
	return nil
}

// crash ends the life: its channels are reset and everything that runs is lost.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.life == nil {
		return
	}
	l := x.life
	x.life = nil
	close(l.done)
	_ = l.server.Close()
	lost := []string{}
	for name, r := range l.running {
		if r.work.gang > 0 {
			defer func() { go x.shop.breakGang(r) }()
		}
		lost = append(lost, fmt.Sprintf("%s run %d", name, r.run))
		if r.gangTimer != nil {
			r.gangTimer.Stop()
		}
	}
	slices.Sort(lost)
	x.shop.rec.addf("executor %s crashes, %d runs are lost: %s", x.name, len(lost), strings.Join(lost, ", "))
}

func (l *life) alive() bool { return l.x.life == l }

func (l *life) clockMs(at time.Time) int64 { return at.Sub(l.born).Milliseconds() + 1000 }

func (l *life) heartbeats() {
	for {
		pause := heartbeatTime
		if !l.heartbeat() {
			pause = 200 * time.Millisecond
		}
		select {
		case <-l.done:
			return
		case <-time.After(pause):
		}
	}
}

// heartbeat sends a heartbeat, and reports whether it was acknowledged.
func (l *life) heartbeat() bool {
	l.x.mu.Lock()
	l.sequence++
	beat := map[string]any{
		"service": l.x.service, "address": l.x.address, "zone": l.x.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": l.x.cpu, "memMb": l.x.mem, "gpu": 0}, "labels": l.x.labels,
		"clockMs": l.clockMs(time.Now()), "born": l.born.UnixMilli(), "sequence": l.sequence,
	}
	if l.draining {
		beat["state"], beat["remainingMs"] = "draining", drainTime.Milliseconds()
	}
	l.x.mu.Unlock()
	return l.x.register(http.MethodPut, l.id, beat)
}

// register sends a call to the control address of the host, and reports whether it was acknowledged.
func (x *executor) register(method, id string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	request, err := http.NewRequest(method, "http://"+x.control+"/v1/executors/"+id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// leave announces that the executor drains, and ends it drainTime after that is acknowledged.
func (x *executor) leave() {
	x.mu.Lock()
	l := x.life
	l.draining = true
	x.mu.Unlock()
	x.shop.rec.addf("executor %s drains", x.name)
	for !l.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(drainTime)
	x.shop.rec.addf("executor %s leaves, acknowledged: %v", x.name, x.register(http.MethodDelete, l.id, struct{}{}))
	x.crash()
}

func (l *life) watchLease() {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		l.x.mu.Lock()
		if l.alive() && !l.deadline.IsZero() && time.Now().After(l.deadline) {
			for _, r := range l.running {
				l.end(r, "lapsed")
			}
		}
		l.x.mu.Unlock()
	}
}

type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// order checks the incarnation, the body and the fencing token of a call before its handler runs with the lock held.
func (l *life) order(handle func(w http.ResponseWriter, r *http.Request, b *orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Quetzalshed-Expected-Instance"); want != "" && want != l.id {
			writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		b := &orderBody{}
		if err := json.NewDecoder(r.Body).Decode(b); err != nil {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		l.x.mu.Lock()
		defer l.x.mu.Unlock()
		if !l.alive() {
			return
		}
		if b.FencingToken < l.fence {
			l.refuse(w, "fence")
			return
		}
		l.fence = b.FencingToken
		handle(w, r, b)
	}
}

func (l *life) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": l.clockMs(time.Now()), "born": l.born.UnixMilli(), "reason": reason})
}

func (l *life) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": l.clockMs(time.Now()), "born": l.born.UnixMilli()})
}

// extend extends the lease of everything that runs; it never shortens it.
func (l *life) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := l.born.Add(time.Duration(deadlineMs-1000) * time.Millisecond)
	if most := time.Now().Add(holdMax); until.After(most) {
		until = most
	}
	if until.After(l.deadline) {
		l.deadline = until
	}
}

func (l *life) handleStart(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	rec := l.x.shop.rec
	if r := l.running[b.Task]; r != nil && r.run == b.Run {
		l.accept(w)
		return
	}
	refuse := func(reason string) {
		rec.addf("start of %s run %d on %s is rejected: %s", b.Task, b.Run, l.x.name, reason)
		l.refuse(w, reason)
	}
	if l.clockMs(time.Now()) >= b.DeadlineMs {
		refuse("late")
		return
	}
	l.extend(b.DeadlineMs)
	if b.Run <= l.last[b.Task] || l.running[b.Task] != nil {
		refuse("old")
		return
	}
	used := int64(0)
	for _, r := range l.running {
		used += l.x.shop.needOf(r.task)
	}
	if used+l.x.shop.needOf(b.Task) > l.x.cpu {
		refuse("room")
		return
	}
	r := &run{life: l, task: b.Task, run: b.Run, work: l.x.shop.workOf(l.x.name, b.Task, b.Run), present: time.Now(), start: b.Checkpoint, saved: b.Checkpoint}
	l.running[b.Task] = r
	rec.addf("start of %s run %d on %s, checkpoint %q", b.Task, b.Run, l.x.name, b.Checkpoint)
	l.x.shop.seeStart(l.x.name, b.Task, b.Run)
	l.accept(w)
	if r.work.gang > 0 {
		go l.x.shop.gather(r)
		return
	}
	r.begin()
}

// begin starts the work of a run. The caller holds the lock of the executor.
func (r *run) begin() {
	r.begun = time.Now()
	time.AfterFunc(r.work.takes-r.resumed(), func() {
		if r.work.gang > 0 {
			r.life.x.shop.endGang(r)
			return
		}
		r.life.x.mu.Lock()
		defer r.life.x.mu.Unlock()
		r.life.end(r, r.work.how)
	})
}

// end ends a run that is still there. The caller holds the lock of the executor.
func (l *life) end(r *run, how string) {
	if !l.alive() || l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.last[r.task] = max(l.last[r.task], r.run)
	l.number++
	l.ends = append(l.ends, endRow{l.number, r.task, r.run, how, r.checkpoint()})
	l.x.shop.seeEnd(l, r, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// resumed returns the work that the checkpoint of the start stands for.
func (r *run) resumed() time.Duration {
	if !r.work.saves {
		return 0
	}
	periods, err := strconv.ParseInt(r.start, 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(periods) * savePeriod
}

// checkpoint returns the newest checkpoint of a run.
func (r *run) checkpoint() string {
	if !r.work.saves || r.begun.IsZero() || time.Since(r.begun) < savePeriod {
		return r.saved
	}
	return fmt.Sprintf("%08x", int64((r.resumed()+time.Since(r.begun))/savePeriod))
}

func (l *life) handleStop(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	l.last[b.Task] = max(l.last[b.Task], b.Run)
	r := l.running[b.Task]
	if r != nil && r.run <= b.Run && !r.stopping {
		r.stopping = true
		l.x.shop.rec.addf("stop of %s run %d on %s", b.Task, b.Run, l.x.name)
		time.AfterFunc(stopTime, func() {
			l.x.mu.Lock()
			l.end(r, "stopped")
			l.x.mu.Unlock()
			if r.work.gang > 0 {
				l.x.shop.breakGang(r)
			}
		})
	}
	l.accept(w)
}

func (l *life) handlePace(w http.ResponseWriter, _ *http.Request, _ *orderBody) { l.accept(w) }

func (l *life) handleHold(w http.ResponseWriter, r *http.Request, b *orderBody) {
	l.extend(b.DeadlineMs)
	for len(l.ends) > 0 && l.ends[0].number <= b.AckCursor {
		l.x.shop.seeAck(l, l.ends[0].number)
		l.ends = l.ends[1:]
	}
	deadline := time.After(time.Duration(b.WaitMs) * time.Millisecond)
	first := l.number
	for waiting := b.WaitMs > 0; waiting && (len(l.ends) == 0 || waitsForNewEnd && l.number == first); {
		changed := l.changed
		l.x.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		case <-l.done:
			waiting = false
		}
		l.x.mu.Lock()
	}
	if !l.alive() {
		return
	}
	running := [][]any{}
	for _, r := range l.running {
		percent := 0.0
		if !r.begun.IsZero() && r.work.takes > 0 {
			percent = min(100*float64(r.resumed()+time.Since(r.begun))/float64(r.work.takes), 100)
		}
		running = append(running, []any{r.task, r.run, r.checkpoint(), int(percent), float64(l.x.shop.needOf(r.task))})
	}
	ended := [][]any{}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.save})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": l.clockMs(time.Now()), "born": l.born.UnixMilli(), "running": running, "ended": ended,
	})
}

func (s *shop) seeStart(executor, task string, run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, startSeen{executor, task, run, time.Now()})
}

func (s *shop) seeEnd(l *life, r *run, how string) {
	s.rec.addf("end of %s run %d on %s: %s, number %d", r.task, r.run, l.x.name, how, l.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, endSeen{executor: l.id, task: r.task, how: how, run: r.run, at: time.Now(), number: l.number})
}

func (s *shop) seeAck(l *life, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ends {
		if s.ends[i].executor == l.id && s.ends[i].number == number {
			s.ends[i].acked = true
		}
	}
}

// startsOf returns the starts of the tasks of a job.
func (s *shop) startsOf(job string) []startSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []startSeen
	for _, seen := range s.starts {
		if strings.HasPrefix(seen.task, job+".") {
			found = append(found, seen)
		}
	}
	return found
}

// endsOf returns the ends of the runs of a job.
func (s *shop) endsOf(job string) []endSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []endSeen
	for _, seen := range s.ends {
		if strings.HasPrefix(seen.task, job+".") {
			found = append(found, seen)
		}
	}
	return found
}

// isRunning reports whether any executor runs a task of a job.
func (f *fleet) isRunning(job string) bool {
	for _, x := range f.executors {
		x.mu.Lock()
		found := false
		if x.life != nil {
			for task := range x.life.running {
				found = found || strings.HasPrefix(task, job+".")
			}
		}
		x.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
