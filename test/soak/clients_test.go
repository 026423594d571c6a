package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstService  = "motion7a"
	secondService = "joint2c"
	queueHost     = "jobs.example"
	// clientTimeout is how long a client waits for a response, and submitTries how often it submits a job at most.
	clientTimeout = 3 * time.Second
	submitTries   = 6
	// keptConnections is how many idle connections to each gateway are kept for further calls.
	keptConnections = 100
	// repeatShare of the accepted jobs are submitted again up to repeatTime later.
	repeatShare = 0.05
	repeatTime  = 6 * time.Second
	cancelShare = 0.02
	cancelTime  = 8 * time.Second
	askInterval = 700 * time.Millisecond
	askTime     = 40 * time.Second
	// rareLabel is a label of one executor.
	rareLabel    = "b"
	steadySpread = 200 * time.Millisecond
	// repeatedShare of the steps of short tasks are those of jobs with two overlapping occurrences.
	repeatedShare    = 0.1
	repeatedInterval = 400 * time.Millisecond
)

// kindLabels are the labels of the kinds of executors, each of which has one.
var kindLabels = []string{"a", "c"}

// jobKind is a kind of jobs that clients submit.
type jobKind struct {
	prefix       string
	perSecond    float64
	steps, tasks int
	cpu          int64
	takes        time.Duration
	longRunning  bool
	errors       float64
	// copied is the share of steps of which copies may run, and apart that of steps that limit the tasks on an executor.
	copied, apart float64
	// needs is a label that executors must have; others draw one of the kinds for a share of their steps.
	needs string
	picky float64
	// services are those to which configurations send the queue, the first one at the start.
	services []string
	// steady is set if all tasks take nearly the same time.
	steady bool
}

var jobKinds = []jobKind{
	{
		prefix: "/lint/", perSecond: 7, steps: 2, tasks: 6, cpu: 480, takes: 640 * time.Millisecond, errors: 0.03, copied: 0.2, apart: 0.3, picky: 0.25,
		services: []string{secondService, firstService},
	},
	{
		prefix: "/build/", perSecond: 1.5, steps: 2, tasks: 8, cpu: 3500, takes: 1700 * time.Millisecond, errors: 0.04, apart: 0.7, picky: 0.25,
		services: []string{firstService},
	},
	{
		prefix: "/serve/", perSecond: 0.05, steps: 1, tasks: 6, cpu: 900, takes: 20 * time.Second, longRunning: true, errors: 0.02, apart: 0.5,
		services: []string{secondService, firstService},
	},
	// Jobs of this kind come only in bursts.
	{prefix: "/tiny/", steps: 1, tasks: 25, cpu: 10, takes: 4 * time.Second, needs: rareLabel, steady: true, services: []string{firstService}},
	// Tasks of this kind last longer than any lease.
	{prefix: "/render/", perSecond: 0.7, steps: 1, tasks: 6, cpu: 900, takes: 13 * time.Second, steady: true, services: []string{firstService, secondService}},
}

// kindOf returns the kind of the job of a task, which its ID begins with.
func kindOf(task string) *jobKind { return &jobKinds[int(task[0]-'a')%len(jobKinds)] }

// drawFor returns a source of draws that follow from the seed and a name.
func (f *fleet) drawFor(name string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", f.seed, name)
	return rand.New(rand.NewPCG(h.Sum64(), 0))
}

// runWork is what a run does.
type runWork struct {
	cpu   int64
	takes time.Duration
	how   string
}

// work returns what a run does, which follows from the seed and its name.
func (f *fleet) work(task string, number int) runWork {
	kind, draw := kindOf(task), f.drawFor(fmt.Sprintf("%s/%d", task, number))
	w := runWork{cpu: kind.cpu, takes: time.Duration(float64(kind.takes) * min(0.1+draw.ExpFloat64(), 5)), how: "done"}
	if kind.steady {
		w.takes = kind.takes + time.Duration(draw.Float64()*float64(steadySpread))
	}
	if kind.longRunning {
		// Tasks that are to last run until they end in one way or the other.
		w.how = []string{"done", "failed"}[int(2*draw.Float64())]
	} else if draw.Float64() < kind.errors {
		w.how = "failed"
		w.takes = time.Duration(float64(w.takes) * draw.Float64())
	}
	return w
}

// clients submit jobs at random times until they are stopped.
type clients struct {
	fleet   *fleet
	done    chan struct{}
	workers sync.WaitGroup
	mu      sync.Mutex
	draw    *rand.Rand
	states  map[string]int
	http    *http.Client
}

func startClients(f *fleet, draw *rand.Rand) *clients {
	c := &clients{
		fleet: f, done: make(chan struct{}), draw: draw, states: map[string]int{},
		http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
	}
	f.clients = c
	for number, kind := range jobKinds {
		if kind.perSecond == 0 {
			continue
		}
		c.workers.Go(func() { c.submitAll(number, kind) })
	}
	return c
}

func (c *clients) stop() {
	close(c.done)
	c.workers.Wait()
}

func (c *clients) count(state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[state]++
}

func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("jobs %v", c.states)
}

func (c *clients) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draw.Float64()
}

// pause waits, and reports whether the clients go on.
func (c *clients) pause(d time.Duration) bool {
	select {
	case <-c.done:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *clients) submitAll(number int, kind jobKind) {
	for c.pause(time.Duration(c.float() * 2 / kind.perSecond * float64(time.Second))) {
		c.submitOne(number, kind, 1)
	}
}

// submitOne submits a job whose steps are some times as wide as usual.
func (c *clients) submitOne(number int, kind jobKind, wide int) {
	c.mu.Lock()
	id := fmt.Sprintf("%c%015x", 'a'+rune(number), c.draw.Uint64()>>4)
	tasks := wide * (1 + c.draw.IntN(2*kind.tasks))
	steps := 1 + c.draw.IntN(kind.steps)
	c.mu.Unlock()
	body := c.jobBody(kind, id, steps, tasks)
	c.workers.Go(func() { c.follow(kind, kind.prefix+id, body) })
}

func (c *clients) jobBody(kind jobKind, id string, steps, tasks int) map[string]any {
	rows := []map[string]any{}
	for i := range steps {
		row := map[string]any{"count": tasks, "cpu": kind.cpu, "memMb": 64, "estimatedMs": kind.takes.Milliseconds()}
		if i > 0 {
			row["after"] = []int{i - 1}
		}
		if kind.longRunning {
			row["longRunning"] = true
		}
		rule := c.drawRule(kind)
		c.fleet.oracle.setRule(stepName{id, strconv.Itoa(i)}, rule)
		if rule.label != "" {
			row["requirements"] = rule.label
		}
		if rule.copied {
			row["speculative"] = true
		}
		if rule.limit > 0 {
			row["antiAffinity"] = rule.limit
		}
		rows = append(rows, row)
	}
	body := map[string]any{"spec": "motion clash check", "steps": rows}
	if !kind.longRunning && c.float() < repeatedShare {
		body["repeatCount"], body["startAtMs"], body["intervalMs"] = 2, time.Now().UnixMilli(), repeatedInterval.Milliseconds()
	}
	return body
}

// drawRule draws what a step says of its tasks. Most limits are 1 or 2.
func (c *clients) drawRule(kind jobKind) stepRule {
	rule := stepRule{label: kind.needs, lasts: kind.longRunning, copied: c.float() < kind.copied}
	if c.float() < kind.apart {
		rule.limit = 1 + int(4*c.float()*c.float())
	}
	if c.float() < kind.picky {
		rule.label = kindLabels[int(c.float()*float64(len(kindLabels)))]
	}
	return rule
}

// follow submits a job and asks for its state until it has ended.
func (c *clients) follow(kind jobKind, path string, body map[string]any) {
	id := path[strings.LastIndex(path, "/")+1:]
	if !c.submit(path, body) {
		c.count("rejected")
		if status, _ := c.call(http.MethodDelete, path, nil); status == http.StatusGone {
			c.fleet.oracle.deny(id)
		}
		return
	}
	c.count("accepted")
	if c.float() < repeatShare {
		delay := time.Duration(c.float() * float64(repeatTime))
		time.AfterFunc(delay, func() { c.call(http.MethodPost, path, body) })
	}
	cancelled := kind.longRunning || c.float() < cancelShare
	cancelAt := time.Now().Add(time.Duration(c.float() * float64(cancelTime)))
	for until := time.Now().Add(askTime); time.Now().Before(until) && c.pause(askInterval); {
		if cancelled && time.Now().After(cancelAt) {
			if status, _ := c.call(http.MethodDelete, path, nil); status/100 == 2 {
				c.count("cancelled")
				return
			}
			continue
		}
		status, response := c.call(http.MethodGet, path, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || json.Unmarshal(response, &answer) != nil {
			continue
		}
		if answer.State == "completed" || answer.State == "failed" {
			c.count(answer.State)
			c.fleet.oracle.showEnded(id, answer.State)
			return
		}
	}
	c.count("not ended")
}

// submit submits a job, and again while the result is unknown or it was rejected. It reports whether it was accepted.
func (c *clients) submit(path string, body map[string]any) bool {
	for range submitTries {
		if status, _ := c.call(http.MethodPost, path, body); status/100 == 2 {
			return true
		}
		if !c.pause(time.Duration(c.float() * float64(time.Second))) {
			return false
		}
	}
	return false
}

// call sends one request to some gateway. status is 0 if there was no response.
func (c *clients) call(method, path string, body any) (status int, response []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	gateway := c.fleet.realAddress(int(c.float()*frontHosts), frontPort)
	request, err := http.NewRequest(method, "http://"+gateway+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Quetzalshed-Deadline-Remaining", "3000")
	answer, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	response, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, response
}
