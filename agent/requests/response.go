package requests

import (
	"net/http"
	"strings"

	"github.com/quetzalshed/quetzalshed/structs"
)

// response is a complete response of an upstream.
type response struct {
	status   int
	header   http.Header
	body     []byte
	checksum string
}

// responseOverhead is the approximate memory that a response takes in addition to its body and header text, in bytes.
const responseOverhead = 512

// size returns the memory that the response takes, in bytes.
func (r *response) size() int64 {
	size := int64(responseOverhead + len(r.body))
	for name, values := range r.header {
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return size
}

// hopByHopHeaders apply to a single connection, so they are neither forwarded to the upstream nor returned to the entry.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// connectionHeaders returns the headers that a message lists as hop-by-hop in its Connection header.
func connectionHeaders(header http.Header) map[string]bool {
	if len(header["Connection"]) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// unwrapHeaders extracts the caller's headers from an entry's request, where they have the prefix HeaderForwardPrefix.
func unwrapHeaders(wrapped http.Header) http.Header {
	header := http.Header{}
	for name, values := range wrapped {
		if plain, ok := strings.CutPrefix(name, structs.HeaderForwardPrefix); ok && plain != "" {
			header[http.CanonicalHeaderKey(plain)] = values
		}
	}
	dropped := connectionHeaders(header)
	for name := range header {
		if hopByHopHeaders[name] || dropped[name] {
			delete(header, name)
		}
	}
	return header
}

// wrapHeaders adds the upstream's headers, with the prefix HeaderForwardPrefix, to the headers of a response to an entry.
func wrapHeaders(to, from http.Header) {
	dropped := connectionHeaders(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !dropped[name] {
			to[structs.HeaderForwardPrefix+name] = values
		}
	}
}
