package requests

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/structs"
)

// callerPrefix is the path prefix of the caller API; the name of the service follows it.
const callerPrefix = "/s/"

// Limits and defaults of callers' requests.
const (
	defaultTimeout = 2 * time.Second
	maxTimeout     = time.Minute
	maxKeyBytes    = 255
	maxNameBytes   = 255
	// maxHeaderBytes leaves room for the prefix that is added to each header on the way to the agent, whose server accepts
	// 1 MiB of headers.
	maxHeaderBytes = 64 << 10
)

// parsedRequest is a caller's request without its body.
type parsedRequest struct {
	request forward.Request
	timeout time.Duration
	// key is the caller's Idempotency-Key, empty when there is none.
	key string
}

// parseRequest parses the path and headers of a caller's request. It reports all problems together.
func parseRequest(r *http.Request) (parsedRequest, error) {
	var found findings.List
	p := parsedRequest{timeout: defaultTimeout}
	p.request.Method = r.Method
	p.request.Service, p.request.Path = parsePath(r.URL, &found)
	p.timeout = parseTimeout(r.Header, &found)
	p.request.Priority = parsePriority(r.Header, &found)
	p.request.Idempotent = parseIdempotent(r, &found)
	p.key = parseKey(r.Header, &found)
	p.request.Header = forwardedHeaders(r.Header)
	p.request.Header.Set("Host", r.Host)
	if size := headerBytes(p.request.Header); size > maxHeaderBytes {
		found.Addf(findings.Location{}, "the headers have %d bytes, of at most %d", size, maxHeaderBytes)
	}
	return p, found.Err()
}

// headerBytes returns the total length of the names and values.
func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func parsePath(u *url.URL, found *findings.List) (service, path string) {
	rest := strings.TrimPrefix(u.EscapedPath(), callerPrefix)
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	if err != nil || service == "" || len(service) > maxNameBytes {
		found.Addf(findings.Location{Section: "path"}, "%q is not the name of a service", name)
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return service, path
}

func parseTimeout(h http.Header, found *findings.List) time.Duration {
	text := h.Get(structs.HeaderTimeoutMillis)
	if text == "" {
		return defaultTimeout
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		found.Addf(headerLocation(structs.HeaderTimeoutMillis), "%q is not a number from 1 to %d", text, maxTimeout.Milliseconds())
		return defaultTimeout
	}
	return time.Duration(millis) * time.Millisecond
}

func parsePriority(h http.Header, found *findings.List) structs.Priority {
	switch p := structs.Priority(h.Get(structs.HeaderPriority)); p {
	case "":
		return structs.PriorityNormal
	case structs.PriorityCritical, structs.PriorityNormal, structs.PriorityLow:
		return p
	default:
		found.Addf(headerLocation(structs.HeaderPriority), "%q is not critical, normal or low", p)
		return structs.PriorityNormal
	}
}

// idempotentMethods are the methods whose requests may run more than once unless the caller states otherwise.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions}

func parseIdempotent(r *http.Request, found *findings.List) bool {
	switch text := r.Header.Get(structs.HeaderIdempotent); text {
	case "":
		return slices.Contains(idempotentMethods, r.Method)
	case "true", "false":
		return text == "true"
	default:
		found.Addf(headerLocation(structs.HeaderIdempotent), "%q is not true or false", text)
		return false
	}
}

func parseKey(h http.Header, found *findings.List) string {
	values := h.Values(structs.HeaderIdempotencyKey)
	if len(values) == 0 {
		return ""
	}
	key := values[0]
	printable := strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes || !printable {
		found.Addf(headerLocation(structs.HeaderIdempotencyKey), "not a single key of 1 to %d printable characters", maxKeyBytes)
	}
	return key
}

func headerLocation(name string) findings.Location {
	return findings.Location{Section: "headers", Key: name}
}

// hopByHopHeaders apply to a single connection and are not forwarded in either direction (RFC 9110, section 7.6.1). The
// trace context is replaced by that of the next hop.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Traceparent", "Tracestate",
}

// internalHeaderPrefix is the prefix of the headers that this system defines.
const internalHeaderPrefix = "Quetzalshed-"

// forwardedHeaders returns the headers without the hop-by-hop and internal ones and those listed in Connection.
func forwardedHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !strings.HasPrefix(name, internalHeaderPrefix) && !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	return to
}
