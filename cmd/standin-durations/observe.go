package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// callTimeout is the timeout of one call to the fleet.
const callTimeout = 15 * time.Second

// call sends a request and decodes the response, whose status must be 200 or 202.
func (r *runner) call(method, url string, body, reply any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encoding a request")
		}
	}
	request, err := http.NewRequestWithContext(r.ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "building a request")
	}
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "calling the fleet")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "reading a response")
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return eris.Errorf("%s %s: status %d: %.300s", method, url, response.StatusCode, content)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(content, reply), "decoding a response")
}

// taskStart is the start of an attempt of a task on a worker.
type taskStart struct {
	worker structs.Worker
	task   structs.TaskID
	at     time.Time
}

// taskStarts returns all starts that the workers recorded, without tasks resumed after a suspension.
func (r *runner) taskStarts() ([]taskStart, error) {
	var all []taskStart
	for _, w := range r.workers {
		agent, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return nil, eris.Wrap(err, "address of "+w.Name)
		}
		var runs []workertest.RunInterval
		url := "http://" + netip.AddrPortFrom(agent.Addr(), uint16(r.workerPort)).String() + "/history"
		if err := r.call(http.MethodGet, url, nil, &runs); err != nil {
			return nil, err
		}
		for _, ran := range runs {
			var alloc structs.Allocation
			if err := json.Unmarshal([]byte(ran.Annotations["allocation"]), &alloc); err != nil {
				return nil, eris.Wrap(err, "decoding an allocation of "+w.Name)
			}
			if !ran.Resumed {
				all = append(all, taskStart{w, alloc.Task, time.Unix(0, ran.FromUnixNano)})
			}
		}
	}
	return all, nil
}

// loadedRevision is the log line with which a process reports that a revision is in force.
type loadedRevision struct {
	Message  string    `json:"@message"`
	At       time.Time `json:"@timestamp"`
	Revision int64     `json:"revision"`
}

// readLoadedRevisions returns the revisions that a process reported in its log as being in force, in the order of the log.
func (r *runner) readLoadedRevisions(process string) ([]loadedRevision, error) {
	file, err := os.Open(filepath.Join(r.logs, process+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "reading a log")
	}
	defer file.Close()
	return decodeLoadedRevisions(file)
}

func decodeLoadedRevisions(log io.Reader) ([]loadedRevision, error) {
	var list []loadedRevision
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		const message = "configuration in force"
		if !bytes.Contains(lines.Bytes(), []byte(message)) {
			continue
		}
		var line loadedRevision
		// The last line may be incomplete while the process writes it.
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == message {
			list = append(list, line)
		}
	}
	return list, eris.Wrap(lines.Err(), "reading a log")
}

// loadedAt returns when a revision, or a later one if the process skipped it, was first in force.
func loadedAt(list []loadedRevision, revision int64) (time.Time, bool) {
	for _, line := range list {
		if line.Revision >= revision {
			return line.At, true
		}
	}
	return time.Time{}, false
}
