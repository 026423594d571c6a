package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
)

// Exit statuses of the command; the package comment describes them.
const (
	exitFailed        = 1
	exitConflict      = 2
	exitNotApplied    = 3
	exitResultUnknown = 4
)

const (
	// callTimeout is longer than the entry's own timeout for a change, so that the entry's response arrives first.
	callTimeout = 15 * time.Second
	// maxResponseBytes limits the size of a response. The inventory of 20,000 workers has about 5 MB.
	maxResponseBytes = 32 << 20
)

// exitError is an error with the exit status of the command.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exitStatus returns the exit status for an error.
func exitStatus(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitFailed
}

// addID adds the ID of a change or a job to an error if the result is unknown. Repeating the call with this ID applies it at
// most once.
func addID(err error, kind, id string) error {
	if exitStatus(err) != exitResultUnknown {
		return err
	}
	return &exitError{exitResultUnknown, fmt.Errorf("%w (%s %s)", err, kind, id)}
}

// client calls the operators' API of one entry.
type client struct {
	base string
	http *http.Client
}

func newClient(entry string) (*client, error) {
	address, err := netip.ParseAddrPort(entry)
	if err != nil {
		return nil, fmt.Errorf("--entry: %q is not an IP address with a port", entry)
	}
	return &client{base: "http://" + address.String(), http: &http.Client{Timeout: callTimeout}}, nil
}

// call sends a request and decodes a successful response into reply, unless that is nil.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte, reply any) error {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return noResponseError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return noResponseError(method, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(response.StatusCode, raw)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(raw, reply)
}

// noResponseError returns the error of a call without a response. The entry may have received and applied the request.
func noResponseError(method string, err error) error {
	if method == http.MethodGet {
		return &exitError{exitNotApplied, err}
	}
	return &exitError{exitResultUnknown, fmt.Errorf("the result is unknown, repeat with the same --change: %w", err)}
}

// responseError returns the error for a response that reports a failure, with all its findings, one per line.
func responseError(status int, raw []byte) error {
	var reply config.ErrorReply
	if err := json.Unmarshal(raw, &reply); err != nil || reply.Message == "" && len(reply.Findings) == 0 {
		reply.Message = fmt.Sprintf("status %d: %s", status, strings.TrimSpace(string(raw)))
	}
	err := errors.New(reply.Message)
	if len(reply.Findings) > 0 {
		err = &findings.Error{Findings: reply.Findings}
	}
	switch status {
	case http.StatusConflict:
		return &exitError{exitConflict, err}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &exitError{exitNotApplied, err}
	case http.StatusGatewayTimeout:
		return &exitError{exitResultUnknown, err}
	}
	return &exitError{exitFailed, err}
}
