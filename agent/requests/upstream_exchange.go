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
	// maxResponseOverhead bounds the header, interim responses and chunk framing of a response, in bytes.
	maxResponseOverhead = 1 << 20
	// maxInterimResponses bounds 1xx responses to one request.
	maxInterimResponses = 64
	// writeGrace is how long a connection waits for the end of the write after the whole response was read, before it is
	// closed instead of reused.
	writeGrace = 20 * time.Millisecond
)

// limitedReader returns an error after a number of bytes.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// errResponseTooLarge reports a response over the limit.
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

// exchange sends a request once and reads the whole response. After an error the upstream may or may not have run the
// request. The connection is returned to its pool or closed. The body of the response is read once memory has room for it.
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
	c.limited.remaining = structs.MaxAnswerBody + maxResponseOverhead
	// The response is read while the request is written: an upstream may respond without reading the whole body.
	written := make(chan error, 1)
	go func() { written <- r.Write(c.Conn) }()
	result, keep, err := c.readResponse(r, until, memory)
	if err != nil {
		return nil, err
	}
	reusable = keep && writeSucceeds(written)
	return result, nil
}

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
