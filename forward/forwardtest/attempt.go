package forwardtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/quetzalshed/quetzalshed/structs"
)

// serveAttempt handles one attempt with its fault and reports whether the connection may carry another request.
func (a *Agent) serveAttempt(c net.Conn, id string, request *http.Request, body []byte) bool {
	fault, status := a.receive(id, request)
	if status != 0 {
		_, err := c.Write(Response(id, status, structs.OutcomeNotRun, ""))
		return err == nil
	}
	switch fault {
	case DropThenClose:
		return false
	case DropThenStall:
		a.stall(c)
		return false
	case Reject:
		a.setState(id, structs.AttemptRefused, nil)
		_, err := c.Write(Response(id, http.StatusServiceUnavailable, structs.OutcomeNotRun, ""))
		return err == nil
	case QueueThenStall:
		a.setState(id, structs.AttemptQueued, nil)
		a.stall(c)
		return false
	}
	a.setState(id, structs.AttemptRunning, nil)
	if fault == RunOnRelease {
		a.holdUntilReleased(c, structs.AttemptRunning)
	}
	answer := a.run(id, request, body, fault != RunWithoutRetaining)
	return a.deliver(c, id, fault, answer)
}

// receive counts an attempt and returns its fault, or the status of its refusal.
func (a *Agent) receive(id string, request *http.Request) (Fault, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.nextIndex
	a.nextIndex++
	a.received++
	a.lastHeaders = request.Header
	if request.Header.Get(structs.HeaderAgentIncarnation) != a.incarnation || a.attempts[id] != nil {
		return NoFault, http.StatusConflict
	}
	if a.FaultFor == nil {
		return NoFault, 0
	}
	return a.FaultFor(n), 0
}

func (a *Agent) setState(id string, state structs.AttemptState, answer []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts[id] = &attemptRecord{state: state, answer: answer}
}

// run calls the upstream and returns the response, which it also retains on request.
func (a *Agent) run(id string, request *http.Request, body []byte, retain bool) []byte {
	text := a.Run(request.Header.Get(structs.HeaderMethod), request.Header.Get(structs.HeaderPath), body)
	answer := Response(id, http.StatusOK, structs.OutcomeAnswered, text)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[string(body)]++
	state := structs.AttemptUnknown
	if retain {
		state = structs.AttemptFinished
	}
	a.attempts[id] = &attemptRecord{state: state, answer: answer}
	if !retain {
		a.attempts[id].answer = nil
	}
	return answer
}

// deliver sends the response of an attempt that ran.
func (a *Agent) deliver(c net.Conn, id string, fault Fault, answer []byte) bool {
	keep := false
	head, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	join := func(body []byte) []byte { return bytes.Join([][]byte{head, body}, []byte("\r\n\r\n")) }
	switch fault {
	case RunThenClose, RunWithoutRetaining:
		answer = nil
	case RunThenStall:
		a.stall(c)
		return false
	case Truncate:
		answer = answer[:len(answer)-1]
	case BadChecksum:
		answer = join(append([]byte{body[0] ^ 1}, body[1:]...))
	case WrongAttempt:
		answer = Response("other-"+id, http.StatusOK, structs.OutcomeAnswered, "the response to someone else")
	case Duplicate:
		answer, keep = append(bytes.Clone(answer), answer...), true
	case NoLength:
		answer = bytes.Replace(answer, fmt.Appendf(nil, "Content-Length: %d", len(body)), []byte("X-None: 1"), 1)
	case Oversized:
		answer = bytes.Replace(answer, fmt.Appendf(nil, "Content-Length: %d", len(body)),
			fmt.Appendf(nil, "Content-Length: %d", structs.MaxResponseBody+1), 1)
	case WrongLength:
		answer = bytes.Replace(answer, fmt.Appendf(nil, "Content-Length: %d", len(body)),
			fmt.Appendf(nil, "Content-Length: %d", len(body)-1), 1)
	case InvalidStatus:
		answer = bytes.Replace(answer, []byte("HTTP/1.1 200"), []byte("HTTP/1.1 042"), 1)
	case EndlessHeader:
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nX-Endless: ")
		_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<20))
		return false
	default:
		keep = true
	}
	_, err := c.Write(answer)
	return err == nil && keep
}
