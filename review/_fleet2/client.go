package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// clientDeadline is how long clients wait for a response.
const clientDeadline = 3 * time.Second

// client sends the requests of clients to the gateway.
type client struct {
	deployment *deployment
	http       *http.Client
	// leaveAfter is when the client gives up before its time limit; 0 if it doesn't.
	leaveAfter time.Duration
}

func newClient(d *deployment) *client {
	return &client{deployment: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// call sends one request and returns the status, which is 0 if there was no response in time, and the body.
func (c *client) call(method, path string, body any, wait time.Duration) (status int, answer string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+c.deployment.address(100, frontPort)+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Quetzalshed-Deadline-Remaining", strconv.FormatInt(wait.Milliseconds(), 10))
	limited := *c.http
	limited.Timeout = wait
	if c.leaveAfter > 0 {
		limited.Timeout = c.leaveAfter
	}
	response, err := limited.Do(request)
	if err != nil {
		c.deployment.record.addf("client: %s %s: no response after %v", method, path, limited.Timeout)
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.deployment.record.addf("client: %s %s: incomplete response", method, path)
		return 0, ""
	}
	c.deployment.record.addf("client: %s %s: %d %s", method, path, response.StatusCode, bytes.TrimSpace(data))
	return response.StatusCode, string(data)
}

// step is a step of a job.
type step map[string]any

// submit submits a job until it is accepted, at most five times.
func (c *client) submit(prefix, id, spec string, steps ...step) bool {
	c.deployment.expect(id, steps)
	for range 5 {
		if status, _ := c.call(http.MethodPost, prefix+id, map[string]any{"spec": spec, "steps": steps}, clientDeadline); status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// expect tells the executors what the tasks of a job request.
func (d *deployment) expect(id string, steps []step) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range steps {
		if cpu, ok := s["cpu"].(int); ok {
			d.needs[id] = max(d.needs[id], int64(cpu))
		}
	}
}

// need returns the CPU that a task of a job requests.
func (d *deployment) need(task string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.needs[task[:16]]
}

// state returns the state of a job as the gateway shows it, and an empty one if it shows none.
func (c *client) state(prefix, id string) string {
	status, body := c.call(http.MethodGet, prefix+id, nil, clientDeadline)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return ""
	}
	return answer.State
}
