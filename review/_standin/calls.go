package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

// waitsForNewEnd is set if a hold call waits for an end after its arrival even while older ends are listed again. The pages leave
// this open; by default it answers at once.
var waitsForNewEnd = os.Getenv("HOLD") == "new"

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
	rec := l.x.workload.rec
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
		used += l.x.workload.needOf(r.task)
	}
	if used+l.x.workload.needOf(b.Task) > l.x.cpu {
		refuse("room")
		return
	}
	r := &run{life: l, task: b.Task, run: b.Run, work: l.x.workload.workOf(l.x.name, b.Task, b.Run), present: time.Now(), start: b.Checkpoint, saved: b.Checkpoint}
	l.running[b.Task] = r
	rec.addf("start of %s run %d on %s, checkpoint %q", b.Task, b.Run, l.x.name, b.Checkpoint)
	l.x.workload.recordStart(l.x.name, b.Task, b.Run)
	l.accept(w)
	if r.work.gang > 0 {
		go l.x.workload.gather(r)
		return
	}
	r.begin()
}

func (l *life) handleStop(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	l.last[b.Task] = max(l.last[b.Task], b.Run)
	r := l.running[b.Task]
	if r != nil && r.run <= b.Run && !r.stopping {
		r.stopping = true
		l.x.workload.rec.addf("stop of %s run %d on %s", b.Task, b.Run, l.x.name)
		time.AfterFunc(time.Duration(rand.Float64()*float64(l.x.stopTime)), func() {
			l.x.mu.Lock()
			l.end(r, "stopped")
			l.x.mu.Unlock()
			if r.work.gang > 0 {
				l.x.workload.breakGang(r)
			}
		})
	}
	l.accept(w)
}

func (l *life) handlePace(w http.ResponseWriter, _ *http.Request, _ *orderBody) { l.accept(w) }

func (l *life) handleHold(w http.ResponseWriter, r *http.Request, b *orderBody) {
	l.extend(b.DeadlineMs)
	for len(l.ends) > 0 && l.ends[0].number <= b.AckCursor {
		l.x.workload.recordAck(l, l.ends[0].number)
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
		running = append(running, []any{r.task, r.run, r.checkpoint(), int(percent), float64(l.x.workload.needOf(r.task))})
	}
	ended := [][]any{}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.save})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": l.clockMs(time.Now()), "born": l.born.UnixMilli(), "running": running, "ended": ended,
	})
}
