package soak

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// executorFault is how an executor harms the calls that it gets.
type executorFault struct {
	// delay is the largest delay of a response, half of it before the call is carried out on average.
	delay time.Duration
	// refuse is the share of calls that are refused as by an unhealthy executor, lose that of lost responses, and late that of
	// orders that are not answered and carried out up to lateTime later.
	refuse, lose, late float64
	lateTime           time.Duration
	// hang is the share of runs that never end, and fail that of runs that fail soon. Others take slow times as long; 0 means once.
	hang, fail, slow float64
}

const (
	hungTime = time.Hour
	failTime = 200 * time.Millisecond
)

// harm changes what a run does by the fault.
func (f *executorFault) harm(w runWork) runWork {
	if f.slow > 0 {
		w.takes = time.Duration(f.slow * float64(w.takes))
	}
	if rand.Float64() < f.fail {
		w.how, w.takes = "failed", failTime
	}
	if rand.Float64() < f.hang {
		w.takes = hungTime
	}
	return w
}

type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (l *life) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", l.order(l.startRun))
	mux.HandleFunc("POST /v1/run-stop", l.order(l.stopRun))
	mux.HandleFunc("POST /v1/pace", l.order(func(*orderBody) (int, map[string]any) { return l.accept() }))
	mux.HandleFunc("POST /v1/hold", l.hold)
	return mux
}

// order serves an order under the fault of the executor.
func (l *life) order(carryOut func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, fault, ok := l.admit(w, r)
		if !ok {
			return
		}
		if rand.Float64() < fault.late {
			time.AfterFunc(time.Duration(rand.Float64()*float64(fault.lateTime)), func() { l.carryOutLate(b, carryOut) })
			leaveUnanswered(r)
		}
		status, response := l.carryOut(b, carryOut)
		l.answer(w, r, fault, status, response)
	}
}

// admit reads a call, and answers it if it is meant for another lifetime or refused.
func (l *life) admit(w http.ResponseWriter, r *http.Request) (*orderBody, executorFault, bool) {
	b := &orderBody{}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, executorFault{}, false
	}
	if json.Unmarshal(data, b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, executorFault{}, false
	}
	l.x.mu.Lock()
	fault := l.x.fault
	l.x.mu.Unlock()
	if fault.delay > 0 {
		time.Sleep(time.Duration(rand.Float64() * float64(fault.delay) / 2))
	}
	if want := r.Header.Get("Quetzalshed-Expected-Instance"); want != "" && want != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, fault, false
	}
	if rand.Float64() < fault.refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, fault, false
	}
	return b, fault, true
}

// answer sends a response under the fault of the executor.
func (l *life) answer(w http.ResponseWriter, r *http.Request, fault executorFault, status int, response map[string]any) {
	if fault.delay > 0 {
		time.Sleep(time.Duration(rand.Float64() * float64(fault.delay) / 2))
	}
	if rand.Float64() < fault.lose {
		leaveUnanswered(r)
	}
	writeJSON(w, status, response)
}

func (l *life) carryOutLate(b *orderBody, carryOut func(*orderBody) (int, map[string]any)) {
	l.x.mu.Lock()
	defer l.x.mu.Unlock()
	if l.alive() && l.passFence(b) {
		l.x.fleet.record.addf("late order for %s run %d on %s", b.Task, b.Run, l.name())
		carryOut(b)
	}
}

func (l *life) carryOut(b *orderBody, carryOut func(*orderBody) (int, map[string]any)) (int, map[string]any) {
	l.x.mu.Lock()
	defer l.x.mu.Unlock()
	if !l.alive() {
		panic(http.ErrAbortHandler)
	}
	if !l.passFence(b) {
		return l.reject("fence")
	}
	return carryOut(b)
}

func (l *life) passFence(b *orderBody) bool {
	if b.FencingToken < l.fence {
		return false
	}
	l.fence = b.FencingToken
	return true
}

func (l *life) reject(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "reason": reason}
}

func (l *life) accept() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli()}
}

func (l *life) startRun(b *orderBody) (int, map[string]any) {
	l.checkLease()
	if r := l.running[b.Task]; r != nil && r.number == b.Run {
		return l.accept()
	}
	if l.clock() >= b.DeadlineMs {
		return l.reject("late")
	}
	l.extend(b.DeadlineMs)
	if b.Run <= l.last[b.Task] || l.running[b.Task] != nil {
		return l.reject("old")
	}
	work := l.x.fault.harm(l.x.fleet.work(b.Task, b.Run))
	if l.x.service.guarded && l.used()+work.cpu > l.x.service.cpu {
		return l.reject("room")
	}
	r := &run{life: l, task: b.Task, number: b.Run, need: work.cpu, takes: work.takes, begun: time.Now()}
	l.running[b.Task] = r
	l.x.fleet.oracle.started(l, r, b.FencingToken)
	time.AfterFunc(work.takes, func() {
		l.x.mu.Lock()
		defer l.x.mu.Unlock()
		if l.alive() {
			l.checkLease()
			l.endRun(r, work.how)
		}
	})
	return l.accept()
}

func (l *life) stopRun(b *orderBody) (int, map[string]any) {
	l.checkLease()
	l.last[b.Task] = max(l.last[b.Task], b.Run)
	r := l.running[b.Task]
	if r != nil && r.number <= b.Run && !r.stopping {
		r.stopping = true
		l.x.fleet.oracle.stopped(l, r)
		time.AfterFunc(time.Duration(rand.Float64()*float64(stopTime)), func() {
			l.x.mu.Lock()
			defer l.x.mu.Unlock()
			l.endRun(r, "stopped")
		})
	}
	return l.accept()
}

// hold serves a hold call, which may wait for an end.
func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	b, fault, ok := l.admit(w, r)
	if !ok {
		return
	}
	if status, response := l.carryOut(b, l.renew); status != http.StatusOK {
		l.answer(w, r, fault, status, response)
		return
	}
	l.awaitEnd(r, time.Duration(b.WaitMs)*time.Millisecond)
	l.x.mu.Lock()
	if !l.alive() {
		l.x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	l.checkLease()
	response := l.lists()
	l.x.mu.Unlock()
	l.answer(w, r, fault, http.StatusOK, response)
}

// renew renews the lease and forgets acknowledged ends.
func (l *life) renew(b *orderBody) (int, map[string]any) {
	l.checkLease()
	if b.DeadlineMs > l.clock() {
		l.extend(b.DeadlineMs)
	}
	for len(l.ends) > 0 && l.ends[0].number <= b.AckCursor {
		l.x.fleet.oracle.acknowledged(l, l.ends[0].number)
		l.ends = l.ends[1:]
	}
	return l.accept()
}

// awaitEnd waits until an end is listed.
func (l *life) awaitEnd(r *http.Request, wait time.Duration) {
	deadline := time.After(wait)
	l.x.mu.Lock()
	defer l.x.mu.Unlock()
	first := l.number
	for waiting := wait > 0; waiting && l.alive() && (len(l.ends) == 0 || l.x.waitsForNewEnd && l.number == first); {
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
}

func (l *life) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := min(100*float64(time.Since(r.begun))/float64(r.takes), 100)
		running = append(running, []any{r.task, r.number, "", int(percent), float64(r.need)})
	}
	for _, e := range l.ends[:min(len(l.ends), listedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": ended}
}
