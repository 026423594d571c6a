package forwardtest

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalshed/quetzalshed/structs"
)

func (a *Agent) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.connections++
		number := a.connections
		a.connNumbers[c] = number
		a.mu.Unlock()
		go a.serve(c, number)
	}
}

func (a *Agent) silenced(number int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return number <= a.silencedUpTo
}

// serve handles the requests on one connection.
func (a *Agent) serve(c net.Conn, number int) {
	defer func() {
		_ = c.Close()
		a.mu.Lock()
		delete(a.connNumbers, c)
		a.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if a.silenced(number) {
			a.stall(c)
			return
		}
		id, action, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/v1/requests/"), "/")
		ok := true
		switch {
		case request.URL.Path == "/v1/ping":
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case action == "resolve":
			ok = a.serveResolve(c, id, request.Header.Get(structs.HeaderAgentIncarnation))
		case action == "answer":
			ok = a.serveAnswer(c, id, request)
		default:
			ok = a.serveAttempt(c, id, request, body)
		}
		if err != nil || !ok {
			return
		}
	}
}

// stall keeps the connection open and sends nothing until the peer closes it.
func (a *Agent) stall(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func (a *Agent) serveResolve(c net.Conn, id, expectedIncarnation string) bool {
	a.mu.Lock()
	if a.resolvesToDrop > 0 {
		a.resolvesToDrop--
		a.mu.Unlock()
		return false
	}
	record := a.attempts[id]
	state := structs.AttemptNeverSeen
	switch {
	case expectedIncarnation != "" && expectedIncarnation != a.incarnation:
		state = structs.AttemptUnknown
	case record == nil:
		a.attempts[id] = &attemptRecord{state: structs.AttemptRefused}
	case record.state == structs.AttemptQueued:
		record.state, state = structs.AttemptCancelled, structs.AttemptCancelled
	default:
		state = record.state
	}
	incarnation := a.incarnation
	a.mu.Unlock()
	body := fmt.Sprintf(`{"attempt":%q,"incarnation":%q,"state":%q}`, id, incarnation, state)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// serveAnswer sends the retained response to an attempt. While the attempt is queued or running, it waits for up to the
// time that the request gives.
func (a *Agent) serveAnswer(c net.Conn, id string, request *http.Request) bool {
	millis, _ := strconv.Atoi(request.Header.Get(structs.HeaderBudgetMillis))
	for waited := 0; ; waited++ {
		a.mu.Lock()
		record := a.attempts[id]
		answer := Response(id, http.StatusGatewayTimeout, structs.OutcomeUnknown, "")
		live := record != nil && (record.state == structs.AttemptQueued || record.state == structs.AttemptRunning)
		if record != nil && record.answer != nil {
			answer = record.answer
		} else if record != nil && record.state.NotRun() {
			answer = Response(id, http.StatusServiceUnavailable, structs.OutcomeNotRun, "")
		}
		a.mu.Unlock()
		if !live || waited >= millis {
			_, err := c.Write(answer)
			return err == nil
		}
		if waited%int(interimInterval/time.Millisecond) == 0 {
			_, _ = io.WriteString(c, interimPrefix+string(structs.AttemptRunning)+"\r\n\r\n")
		}
		time.Sleep(time.Millisecond)
	}
}

// Response returns the bytes of a complete response to an attempt.
func Response(id string, status int, outcome structs.Outcome, body string) []byte {
	var b bytes.Buffer
	sum := xxhash.Sum64String(body)
	raw := binary.BigEndian.AppendUint64(nil, sum)
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%sX-From: upstream\r\n\r\n%s",
		status, len(body), structs.HeaderAttempt, id, structs.HeaderChecksum, hex.EncodeToString(raw),
		structs.HeaderOutcome, outcome, structs.HeaderLoad, "running=1;queued=0;slots=8", structs.HeaderForwardPrefix, body)
	return b.Bytes()
}

const (
	interimPrefix   = "HTTP/1.1 102 Processing\r\nQuetzalshed-State: "
	interimInterval = 20 * time.Millisecond
)

// holdUntilReleased sends interim responses until ReleaseHeld is called.
func (a *Agent) holdUntilReleased(c net.Conn, state structs.AttemptState) {
	ticker := time.NewTicker(interimInterval)
	defer ticker.Stop()
	for {
		_, _ = io.WriteString(c, interimPrefix+string(state)+"\r\n\r\n")
		select {
		case <-a.released:
			return
		case <-a.done:
			return
		case <-ticker.C:
		}
	}
}
