package requests

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxBudget is the longest time that a caller may ask for.
const maxBudget = time.Minute

// attempt is one request that waits or runs.
type attempt struct {
	id         string
	service    string
	priority   structs.Priority
	idempotent bool
	method     string
	path       string
	header     http.Header
	body       []byte
	// held is the number of bytes that the attempt holds of the budget for bodies.
	held int64
	// memory holds the bytes of the response. It is released when the attempt has ended and its entry has the response;
	// users counts these two.
	memory *limit.Reservation
	users  atomic.Int32
	// deadline is when the entry stops waiting.
	deadline time.Time
	upstream *upstream
	span     trace.Span

	// cancelled is closed when the attempt was withdrawn or resolved before it ran.
	cancelled chan struct{}
	// done is closed when result is set.
	done   chan struct{}
	result result
}

// newAttempt reads the headers of an attempt. Errors are the fault of the sender.
func newAttempt(id string, r *http.Request, now time.Time) (*attempt, error) {
	a := &attempt{
		id: id, service: r.Header.Get(structs.HeaderService), method: r.Header.Get(structs.HeaderMethod),
		path:      r.Header.Get(structs.HeaderPath),
		priority:  structs.Priority(r.Header.Get(structs.HeaderPriority)),
		cancelled: make(chan struct{}), done: make(chan struct{}),
	}
	budget, err := strconv.ParseInt(r.Header.Get(structs.HeaderBudgetMillis), 10, 64)
	switch {
	case err != nil || budget < 0 || budget > maxBudget.Milliseconds():
		return nil, eris.Errorf("%s is not a number from 0 to %d", structs.HeaderBudgetMillis, maxBudget.Milliseconds())
	case a.service == "":
		return nil, eris.Errorf("%s is missing", structs.HeaderService)
	case !validMethod(a.method):
		return nil, eris.Errorf("%s is not a method that can be forwarded", structs.HeaderMethod)
	case !validPath(a.path):
		return nil, eris.Errorf("%s is not an absolute path", structs.HeaderPath)
	case r.ContentLength > structs.MaxRequestBody:
		return nil, eris.Errorf("the body exceeds %d bytes", structs.MaxRequestBody)
	}
	a.deadline = now.Add(time.Duration(budget) * time.Millisecond)
	a.idempotent, _ = strconv.ParseBool(r.Header.Get(structs.HeaderIdempotent))
	a.header = unwrapHeaders(r.Header)
	return a, nil
}

// leave ends the use of the response by the attempt's execution or by its entry. After both the memory is free, apart from
// what the table retains and counts itself.
func (a *attempt) leave() {
	if a.users.Add(-1) == 0 {
		a.memory.Release()
	}
}

// bodySize returns the number of bytes that a body may take.
func bodySize(r *http.Request) int64 {
	if r.ContentLength >= 0 {
		return r.ContentLength
	}
	return structs.MaxRequestBody
}

// readBody reads the body of an attempt whole.
func (a *attempt) readBody(r *http.Request) error {
	body, err := readWhole(r.Body, r.ContentLength, structs.MaxRequestBody)
	if err != nil {
		return eris.Wrap(err, "reading the body of the request")
	}
	a.body = body
	return nil
}

// errTooLarge reports a body over its limit.
var errTooLarge = eris.New("the body exceeds its limit")

// readWhole reads a body of at most limit bytes. length is its declared length, or negative when there is none; with a
// length the body takes no more memory than it needs.
func readWhole(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errTooLarge
	}
	if length >= 0 {
		whole := make([]byte, length)
		_, err := io.ReadFull(body, whole)
		return whole, err
	}
	whole, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(whole)) > limit {
		err = errTooLarge
	}
	return whole, err
}

// validMethod accepts tokens but CONNECT, which would turn the connection into a tunnel.
func validMethod(method string) bool {
	if method == "" || len(method) > 32 || method == http.MethodConnect {
		return false
	}
	return !strings.ContainsFunc(method, func(c rune) bool { return (c < 'A' || c > 'Z') && c != '-' && c != '_' })
}

// validPath accepts an encoded path with a query. Spaces and control characters would break the request line.
func validPath(path string) bool {
	return strings.HasPrefix(path, "/") &&
		!strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' })
}

// request returns the request for the upstream.
func (a *attempt) request(u *upstream) (*http.Request, error) {
	r, err := http.NewRequest(a.method, "http://"+u.address.String()+a.path, bytes.NewReader(a.body))
	if err != nil {
		return nil, eris.Wrap(err, "building the request for the upstream")
	}
	for name, values := range a.header {
		if name == "Host" {
			r.Host = values[0]
			continue
		}
		r.Header[name] = values
	}
	r.Header.Set(structs.HeaderAttempt, a.id)
	if len(a.body) == 0 {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		r.Header.Set("User-Agent", "")
	}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(r.Context(), a.span), propagation.HeaderCarrier(r.Header))
	return r, nil
}
