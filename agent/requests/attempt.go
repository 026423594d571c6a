package requests

import (
	"bytes"
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

// maxBudget is the longest time budget that a request may have.
const maxBudget = time.Minute

// attempt is one try to execute a request, from its arrival to its result.
type attempt struct {
	id         string
	service    string
	priority   structs.Priority
	idempotent bool
	method     string
	path       string
	header     http.Header
	body       []byte
	// reservedBytes is what the attempt has reserved of Module.bodies.
	reservedBytes int64
	// memory is the memory reserved for the response. Both the execution and the handler of the entry's request use the
	// response; responseRefs counts those that still do, and the last one releases the memory.
	memory       *limit.Reservation
	responseRefs atomic.Int32
	// deadline is the time at which the entry stops waiting.
	deadline time.Time
	upstream *upstream
	span     trace.Span

	// cancelled is closed when the attempt is withdrawn or resolved before it runs.
	cancelled chan struct{}
	// done is closed when result is set.
	done   chan struct{}
	result result
}

// newAttempt parses the headers of an attempt. An error means that the request is invalid.
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

// releaseResponse drops one reference to the response, that of the execution or that of the handler of the entry's
// request. The last one releases the memory; a retained response is counted by the table from then on.
func (a *attempt) releaseResponse() {
	if a.responseRefs.Add(-1) == 0 {
		a.memory.Release()
	}
}

// validMethod reports whether a method can be forwarded. CONNECT can't, since it would turn the connection into a tunnel.
func validMethod(method string) bool {
	if method == "" || len(method) > 32 || method == http.MethodConnect {
		return false
	}
	return !strings.ContainsFunc(method, func(c rune) bool { return (c < 'A' || c > 'Z') && c != '-' && c != '_' })
}

// validPath reports whether path is an absolute, encoded path, with or without a query. Spaces and control characters are
// rejected, since they would corrupt the request line.
func validPath(path string) bool {
	return strings.HasPrefix(path, "/") &&
		!strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' })
}

// request builds the request for the upstream.
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
		// An empty value prevents net/http from sending its default User-Agent.
		r.Header.Set("User-Agent", "")
	}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(r.Context(), a.span), propagation.HeaderCarrier(r.Header))
	return r, nil
}
