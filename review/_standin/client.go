package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// clientTimeout is how long a client waits for a response.
const clientTimeout = 3 * time.Second

// maxTries is how often a client sends a submission at most.
const maxTries = 5

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request of a client to a gateway. status is 0 if there was no response.
func (f *fleet) call(gateway int, method, path string, body any) (status int, response []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+f.front(gateway)+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Quetzalshed-Deadline-Remaining", "3000")
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
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

// submit submits a job, and repeats that while the result is unknown or a rejection. It returns the last status.
func (f *fleet) submit(path string, body any) int {
	status := 0
	for try := range maxTries {
		status, _ = f.call(try%f.layout.fronts, http.MethodPost, path, body)
		data, _ := json.Marshal(body)
		f.rec.addf("POST %s to gateway %d: %d, body %s", path, try%f.layout.fronts, status, data)
		if status/100 == 2 || status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// state asks for the state of a job at a gateway. It returns the state, or the status if that isn't 200.
func (f *fleet) state(gateway int, path string) string {
	status, data := f.call(gateway, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return fmt.Sprint("status ", status)
	}
	return body.State
}

// step returns the body of a step.
func step(count int, cpu int64, estimate time.Duration, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimatedMs": estimate.Milliseconds()}
	for key, value := range more {
		s[key] = value
	}
	return s
}

func job(steps ...map[string]any) map[string]any {
	return map[string]any{"spec": "motion clash check", "steps": steps}
}
