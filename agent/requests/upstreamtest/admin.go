package upstreamtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
)

// serveAdmin handles GET /admin/counts and PUT /admin/behaviour, which respond with JSON. It reports whether the
// connection can be reused.
func (s *Server) serveAdmin(c net.Conn, r *http.Request) bool {
	status, value := http.StatusOK, any(s.Counts())
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/counts":
	case "PUT /admin/behaviour":
		var b Behaviour
		if err := json.NewDecoder(io.LimitReader(r.Body, 4<<10)).Decode(&b); err != nil {
			status, value = http.StatusBadRequest, err.Error()
			break
		}
		s.SetBehaviour(b)
		value = b
	default:
		status, value = http.StatusNotFound, "no such path"
	}
	body, err := json.Marshal(value)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	return response.Write(c) == nil
}
