package guarantees_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

// callResult is the response that a caller got.
type callResult struct {
	outcome structs.Outcome
	status  int
	reason  string
	body    string
	// err is set when the connection ended before the complete response.
	err error
}

// call sends a request with an idempotency key through an entry. header holds further headers.
func (f *fleet) call(entry int, key, body string, header map[string]string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[entry].listen+"/s/price/check", bytes.NewReader([]byte(body)))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set(structs.HeaderIdempotencyKey, key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{
		outcome: structs.Outcome(response.Header.Get(structs.HeaderOutcome)), status: response.StatusCode,
		reason: response.Header.Get(structs.HeaderReason), body: string(text), err: err,
	}
}

// executions counts the executions of each key on all upstreams.
func (f *fleet) executions() map[string]int {
	sum := map[string]int{}
	for _, h := range f.hosts {
		for key, n := range h.upstream.Counts().Executions {
			sum[key] += n
		}
	}
	return sum
}

// answersRequests returns whether a request through an entry is answered. The request is idempotent, so that repeating it
// neither uses up the entry's rate limit for at-most-once records nor finds a record whose response is no longer retained.
func (f *fleet) answersRequests(entry int) bool {
	got := f.call(entry, "warm", "warm", map[string]string{structs.HeaderIdempotent: "true"})
	return got.outcome == structs.OutcomeAnswered
}

// changeConfig changes the configuration through an entry.
func (f *fleet) changeConfig(entry int, method, path, body string) {
	f.c.Helper()
	status, text := f.sendChange(entry, method, path, body)
	f.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
}

// setUpConfig changes the configuration through the first entry before the test begins. Calls of the store may exceed their
// deadline while the processes of several fleets start, so the change is repeated under its ID until the store answers in time.
func (f *fleet) setUpConfig(changeID, path, body string) {
	f.c.Helper()
	f.eventually("the change "+changeID+" is applied", func() bool {
		status, text := f.sendChange(0, http.MethodPut, path+"&change="+changeID, body)
		if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
			return false
		}
		f.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		return true
	})
}

// sendChange sends a change of the configuration through an entry and returns the status and the body of the response.
func (f *fleet) sendChange(entry int, method, path, body string) (status int, text string) {
	f.c.Helper()
	request, err := http.NewRequest(method, "http://"+f.entries[entry].listen+path, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	response, err := client.Do(request)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	read, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(read)
}
