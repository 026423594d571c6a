package requests

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against a caller that doesn't send its whole body and occupies the entry after its deadline, and against a rejection
// that is delayed until the body has arrived.
func TestIncompleteRequestBody(t *testing.T) {
	e := newEntry(t, nil, nil)
	agent := newAgent(t, "a", e)
	for _, header := range []string{"Quetzalshed-Timeout-Ms: 50", "Quetzalshed-Priority: wrong"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		_, err = fmt.Fprintf(c, "PUT /s/price/p HTTP/1.1\r\nHost: entry\r\n%s\r\nContent-Length: 10\r\n\r\nabc", header)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, outcome(response), qt.Equals, "400 not-run")
	}
	running, waiting := e.inFlight.Counts()
	qt.Assert(t, running+waiting, qt.Equals, 0)
	qt.Assert(t, agent.AttemptsReceived(), qt.Equals, 0)
}

// Guards against losing the caller's next request after a rejection, because the response doesn't say that package http is
// going to close the connection due to the unread body.
func TestConnectionAfterRejectionOfLargeBody(t *testing.T) {
	e := newEntry(t, nil, nil)
	newAgent(t, "a", e)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	put := func(priority string, body io.Reader, want string) {
		request, err := http.NewRequest(http.MethodPut, e.url+"/s/price/p", body)
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set(structs.HeaderPriority, priority)
		response, err := client.Do(request)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Assert(t, outcome(response), qt.Equals, want)
	}
	for _, size := range []int{100, structs.MaxRequestBody + 1, 8 * structs.MaxRequestBody} {
		for range 3 {
			put("wrong", strings.NewReader(strings.Repeat("x", size)), "400 not-run")
			// The client can't resend a body of this type, so it doesn't retry.
			put("low", io.MultiReader(strings.NewReader("x")), "200 answered")
		}
	}
}
