package requests

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// maxResponseOverhead limits the size of the headers, interim responses and chunk framing of a response, in bytes.
	maxResponseOverhead = 1 << 20
	// maxInterimResponses limits the number of 1xx responses to one request.
	maxInterimResponses = 64
	// writeGrace is how long the write of a request may still take after the complete response was read. If it takes
	// longer, the connection is closed instead of reused.
	writeGrace = 20 * time.Millisecond
)

// limitedReader returns an error once the remaining number of bytes has been read.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// errResponseTooLarge is returned for a response that exceeds the limit, including its headers and framing.
var errResponseTooLarge = eris.New("the response of the upstream exceeds the limit")

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// exchange sends a request once and reads the complete response. After an error the upstream may or may not have executed
// the request. The connection is returned to its pool or closed. The body of the response is read once memory is
// available for it.
func (c *upstreamConn) exchange(r *http.Request, until time.Time, memory responseMemory) (*response, error) {
	reusable := false
	defer func() {
		if reusable {
			c.pool.put(c)
			return
		}
		c.pool.discard(c)
	}()
	if err := c.SetDeadline(until); err != nil {
		return nil, eris.Wrap(err, "preparing the connection")
	}
	c.limited.remaining = structs.MaxResponseBody + maxResponseOverhead
	// The response is read while the request is written, since an upstream may respond without reading the complete body.
	written := make(chan error, 1)
	go func() { written <- r.Write(c.Conn) }()
	result, keep, err := c.readResponse(r, until, memory)
	if err != nil {
		return nil, err
	}
	reusable = keep && writeSucceeds(written)
	return result, nil
}

// writeSucceeds reports whether the write of the request ends without an error within writeGrace.
func writeSucceeds(written <-chan error) bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (c *upstreamConn) readResponse(
	r *http.Request, until time.Time, memory responseMemory,
) (result *response, keep bool, err error) {
	var resp *http.Response
	for range maxInterimResponses {
		resp, err = http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, false, eris.Wrap(err, "reading the response of the upstream")
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
	}
	if resp.StatusCode < http.StatusOK {
		return nil, false, eris.New("the upstream sent too many interim responses")
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if r.Method != http.MethodHead && !delimited {
		return nil, false, eris.New("the response of the upstream has no length, so it can't be known to be whole")
	}
	length := resp.ContentLength
	if r.Method == http.MethodHead {
		length = 0
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	body, err := readResponseBody(ctx, memory, resp.Body, length)
	if err != nil {
		return nil, false, eris.Wrap(err, "reading the response body of the upstream")
	}
	result = &response{status: resp.StatusCode, header: resp.Header, body: body, checksum: structs.Checksum(body)}
	return result, !resp.Close, nil
}
