package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of executors, as in the settings of the processes.
const (
	holdMax     = 10 * time.Second
	gangTimeout = 3 * time.Second
	// longestStopTime is the longest stop time in the settings of a deployment.
	longestStopTime = 900 * time.Millisecond
	heartbeatTime   = 1500 * time.Millisecond
	maxEnds         = 500
	savePeriod      = 500 * time.Millisecond
	// drainTime is how long an executor that drains works on, a little longer than the bound drainMs.
	drainTime = 2200 * time.Millisecond
)

// executor stands in for the executor of one side host. Each life is lost with its crash.
type executor struct {
	workload *workload
	name     string
	address  string
	control  string
	zone     string
	service  string
	labels   []string
	cpu      int64
	mem      int64
	// stopTime is the longest time that a stop takes.
	stopTime time.Duration
	mu       sync.Mutex
	life     *life
	lives    int
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
	x.workload.rec.addf("executor %s is up as %s", x.name, l.id)
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
			defer func() { go x.workload.breakGang(r) }()
		}
		lost = append(lost, fmt.Sprintf("%s run %d", name, r.run))
		if r.gangTimer != nil {
			r.gangTimer.Stop()
		}
	}
	slices.Sort(lost)
	x.workload.rec.addf("executor %s crashes, %d runs are lost: %s", x.name, len(lost), strings.Join(lost, ", "))
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
	x.workload.rec.addf("executor %s drains", x.name)
	for !l.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(drainTime)
	x.workload.rec.addf("executor %s leaves, acknowledged: %v", x.name, x.register(http.MethodDelete, l.id, struct{}{}))
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
