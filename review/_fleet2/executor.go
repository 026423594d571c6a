package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/platform/platformtest"
)

const (
	// executorCPU, in thousandths of a core, and executorMemMB are the capacity of an executor of the small deployments.
	executorCPU, executorMemMB = 16000, 62500
	// listedEnds is how many ends an executor lists at a time.
	listedEnds = 500
	// firstClock is the reading of an executor's clock at its start, in milliseconds.
	firstClock = 480000
)

// executor stands in for the executor of one side host. It follows the pages: leases, fencing tokens, numbered ends and preconditions.
type executor struct {
	deployment       *deployment
	name, zone       string
	labels           []string
	address, control string

	mu sync.Mutex
	// life is the current incarnation; nil while there is none.
	life  *life
	lives int
	// draining is set while the executor announces its planned end, with the time that is left at least.
	draining  bool
	remaining time.Duration
	// isCut is set while the executor is cut off: connections to it are refused, and it reaches nobody.
	isCut  bool
	server *http.Server
	// spans holds all runs by task.
	spans map[string][]runSpan
}

// runSpan is a run as it has been seen on an executor.
type runSpan struct {
	executor   string
	run        int
	start, end time.Time
	how        string
	// acked is when the end was acknowledged, zero if it wasn't; lapsed is set if the lease lapsed between the two.
	acked  time.Time
	lapsed bool
}

// life is one incarnation of an executor.
type life struct {
	x        *executor
	id       string
	born     time.Time
	sequence int64
	deadline int64
	fence    int64
	running  map[string]*activeRun
	last     map[string]int
	ends     [][]any
	number   int64
	changed  chan struct{}
	done     chan struct{}
}

type activeRun struct {
	task    string
	number  int
	cpu     int64
	started time.Time
	takes   time.Duration
}

// start begins a new life at the address of the executor.
func (x *executor) start() error {
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lives++
	l := &life{
		x: x, id: fmt.Sprintf("i-%s-%d", x.name, x.lives), born: time.Now(), running: map[string]*activeRun{}, last: map[string]int{},
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	if x.spans == nil {
		x.spans = map[string][]runSpan{}
	}
	x.life, x.draining = l, false
	x.serve(listener)
	go l.heartbeats()
	go l.watchLease()
	x.deployment.record.addf("executor %s starts", l.id)
	return nil
}

// serve serves the current life. The caller holds mu.
func (x *executor) serve(listener net.Listener) {
	x.server = &http.Server{Handler: x.life.handler()}
	go func(s *http.Server) { _ = s.Serve(listener) }(x.server)
}

// end ends the life at once. Everything that runs is lost.
func (x *executor) end(cause string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.life
	if l == nil {
		return
	}
	x.life = nil
	close(l.done)
	_ = x.server.Close()
	x.deployment.record.addf("executor %s %s with %d runs", l.id, cause, len(l.running))
	for _, r := range l.running {
		x.noteEnd(r, "lost with its executor")
	}
}

// noteEnd completes the span of a run.
func (x *executor) noteEnd(r *activeRun, how string) {
	spans := x.spans[r.task]
	for i := range spans {
		if spans[i].run == r.number && spans[i].end.IsZero() {
			spans[i].end, spans[i].how = time.Now(), how
		}
	}
}

// saved returns the newest checkpoint of a run.
func (x *executor) saved(r *activeRun) string {
	if x.deployment.checkpoint == nil {
		return ""
	}
	return x.deployment.checkpoint(r.task)
}

// spansOf returns the runs of a task on the executor.
func (x *executor) spansOf(task string) []runSpan {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]runSpan(nil), x.spans[task]...)
}

func (l *life) clock() int64 { return firstClock + time.Since(l.born).Milliseconds() }

func (l *life) alive() bool { return l.x.life == l }

func (l *life) heartbeats() {
	for {
		pause := heartbeatTime
		if !l.announce() {
			pause = 300 * time.Millisecond
		}
		select {
		case <-l.done:
			return
		case <-time.After(pause):
		}
	}
}

// announce sends a heartbeat to the node of the host, and reports whether it was acknowledged.
func (l *life) announce() bool {
	x := l.x
	x.mu.Lock()
	l.sequence++
	beat := map[string]any{
		"service": service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": executorCPU, "memMb": executorMemMB, "gpu": 0}, "labels": x.labels, "clockMs": l.clock(),
		"born": l.born.UnixMilli(), "sequence": l.sequence,
	}
	if x.draining {
		beat["state"], beat["remainingMs"] = "draining", x.remaining.Milliseconds()
	}
	x.mu.Unlock()
	return x.register(http.MethodPut, l.id, beat)
}

// register sends a call to the control address of the host, and reports whether it was acknowledged.
func (x *executor) register(method, id string, body any) bool {
	x.mu.Lock()
	isCut := x.isCut
	x.mu.Unlock()
	if isCut {
		return false
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	request, err := http.NewRequest(method, "http://"+x.control+"/v1/executors/"+id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (l *life) watchLease() {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		l.x.mu.Lock()
		if l.alive() {
			l.checkLease()
		}
		l.x.mu.Unlock()
	}
}

// checkLease ends everything that runs once the lease has expired.
func (l *life) checkLease() {
	if l.deadline == 0 || l.clock() < l.deadline {
		return
	}
	l.deadline = 0
	for _, end := range l.ends {
		if s := l.spanOf(end); s != nil {
			s.lapsed = true
		}
	}
	if len(l.running) > 0 {
		l.x.deployment.record.addf("executor %s: lease lapses with %d runs", l.id, len(l.running))
	}
	for _, r := range l.running {
		l.endRun(r, "lapsed")
	}
}

// spanOf returns the run of an end that is listed.
func (l *life) spanOf(end []any) *runSpan {
	spans := l.x.spans[end[1].(string)]
	for i := range spans {
		if spans[i].executor == l.id && spans[i].run == end[2].(int) {
			return &spans[i]
		}
	}
	return nil
}

// extend extends the lease of everything that runs; it never shortens it.
func (l *life) extend(deadline int64) {
	l.checkLease()
	l.deadline = max(l.deadline, min(deadline, l.clock()+holdMax.Milliseconds()))
}

// endRun ends a run that is still there.
func (l *life) endRun(r *activeRun, how string) {
	if !l.alive() || l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.last[r.task] = max(l.last[r.task], r.number)
	l.number++
	l.ends = append(l.ends, []any{l.number, r.task, r.number, how, l.x.saved(r)})
	l.x.noteEnd(r, how)
	l.x.deployment.record.addf("executor %s: run %d of %s ends %s", l.id, r.number, r.task, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// used returns the CPU of everything that runs.
func (l *life) used() (cpu int64) {
	for _, r := range l.running {
		cpu += r.cpu
	}
	return cpu
}

// call is the body of any call to an executor.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

func (l *life) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, serve func(w http.ResponseWriter, r *http.Request, c *call)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if instance := r.Header.Get("Quetzalshed-Expected-Instance"); instance != "" && instance != l.id {
				platformtest.WriteJSON(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli()})
				return
			}
			var c call
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				platformtest.WriteJSON(w, http.StatusBadRequest, map[string]any{"clockMs": l.clock()})
				return
			}
			serve(w, r, &c)
		})
	}
	handle("/v1/run-start", l.serveStart)
	handle("/v1/run-stop", l.serveStop)
	handle("/v1/pace", l.servePace)
	handle("/v1/hold", l.serveHold)
	return mux
}

// answer sends a result with the reading of the clock; an empty reason means success.
func (l *life) answer(w http.ResponseWriter, reason string) {
	if reason == "" {
		platformtest.WriteJSON(w, http.StatusOK, map[string]any{"clockMs": l.clock()})
		return
	}
	platformtest.WriteJSON(w, http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason})
}

func (l *life) serveStart(w http.ResponseWriter, _ *http.Request, c *call) {
	l.x.mu.Lock()
	reason := l.startRun(c)
	l.x.mu.Unlock()
	l.answer(w, reason)
}

// startRun starts a run, or returns the reason for which it doesn't.
func (l *life) startRun(c *call) string {
	x := l.x
	if c.FencingToken < l.fence {
		return "fence"
	}
	l.fence = c.FencingToken
	if c.DeadlineMs <= l.clock() {
		return "late"
	}
	l.extend(c.DeadlineMs)
	if r := l.running[c.Task]; r != nil {
		if r.number == c.Run {
			return ""
		}
		return "old"
	}
	if c.Run <= l.last[c.Task] {
		return "old"
	}
	cpu := x.deployment.need(c.Task)
	if l.used()+cpu > executorCPU {
		return "room"
	}
	takes, how := x.deployment.behaviour(c.Task, c.Run)
	r := &activeRun{task: c.Task, number: c.Run, cpu: cpu, started: time.Now(), takes: takes}
	l.running[c.Task] = r
	x.spans[c.Task] = append(x.spans[c.Task], runSpan{executor: l.id, run: c.Run, start: r.started})
	x.deployment.record.addf("executor %s: run %d of %s starts", l.id, c.Run, c.Task)
	if takes > 0 {
		time.AfterFunc(takes, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			l.endRun(r, how)
		})
	}
	return ""
}

func (l *life) serveStop(w http.ResponseWriter, _ *http.Request, c *call) {
	l.x.mu.Lock()
	reason := ""
	if c.FencingToken < l.fence {
		reason = "fence"
	} else {
		l.fence = c.FencingToken
		l.last[c.Task] = max(l.last[c.Task], c.Run)
		l.x.deployment.record.addf("executor %s: run %d of %s is to stop", l.id, c.Run, c.Task)
		if r := l.running[c.Task]; r != nil && r.number == c.Run {
			l.endRun(r, "stopped")
		}
	}
	l.x.mu.Unlock()
	l.answer(w, reason)
}

func (l *life) servePace(w http.ResponseWriter, _ *http.Request, c *call) {
	l.x.mu.Lock()
	reason := ""
	if c.FencingToken < l.fence {
		reason = "fence"
	}
	l.x.mu.Unlock()
	l.answer(w, reason)
}

func (l *life) serveHold(w http.ResponseWriter, r *http.Request, c *call) {
	l.x.mu.Lock()
	if c.FencingToken < l.fence {
		l.x.mu.Unlock()
		l.answer(w, "fence")
		return
	}
	l.fence = c.FencingToken
	for len(l.ends) > 0 && l.ends[0][0].(int64) <= c.AckCursor {
		if s := l.spanOf(l.ends[0]); s != nil {
			s.acked = time.Now()
		}
		l.ends = l.ends[1:]
	}
	if c.DeadlineMs > 0 {
		l.extend(c.DeadlineMs)
	}
	changed, waits := l.changed, len(l.ends) == 0 && c.WaitMs > 0
	l.x.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	l.x.mu.Lock()
	defer l.x.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range l.running {
		percent := 100.0
		if run.takes > 0 {
			percent = min(100*time.Since(run.started).Seconds()/run.takes.Seconds(), 99)
		}
		running = append(running, []any{run.task, run.number, l.x.saved(run), percent, run.cpu})
	}
	ended = append(ended, l.ends[:min(len(l.ends), listedEnds)]...)
	platformtest.WriteJSON(w, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": ended})
}
