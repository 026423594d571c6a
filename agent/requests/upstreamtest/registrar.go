package upstreamtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// registrationTimeout limits one registration. Leave has no such limit, since it waits for the upstream's requests to
	// end.
	registrationTimeout = time.Second
	// leavePollInterval is the delay before Leave asks again whether the upstream may stop.
	leavePollInterval = 100 * time.Millisecond
)

// Registrar keeps an upstream registered with an agent.
type Registrar struct {
	// Agent is the address of the agent.
	Agent        string
	Registration structs.UpstreamRegistration
	// OnFailure, if not nil, is called with the error of each failed registration.
	OnFailure func(error)
}

// Run registers the upstream and renews the registration until ctx ends. A renewal that has begun isn't cancelled, since the
// agent could process it after a later Leave.
func (r *Registrar) Run(ctx context.Context) {
	for {
		next, err := r.Register(context.WithoutCancel(ctx))
		if err != nil {
			next = registrationTimeout
			if r.OnFailure != nil && ctx.Err() == nil {
				r.OnFailure(err)
			}
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Register registers the upstream or renews its registration once. It returns the time until the next renewal.
func (r *Registrar) Register(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	body, err := json.Marshal(r.Registration)
	if err != nil {
		return 0, eris.Wrap(err, "encoding the registration")
	}
	var reply structs.UpstreamReply
	status, err := r.call(ctx, http.MethodPost, "/v1/upstreams", body, &reply)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK || reply.RenewAfterMillis <= 0 {
		return 0, eris.Errorf("the agent rejected the registration with status %d", status)
	}
	return time.Duration(reply.RenewAfterMillis) * time.Millisecond, nil
}

// Leave tells the agent that the upstream leaves. It returns when the upstream may stop, or with an error when ctx ends.
func (r *Registrar) Leave(ctx context.Context) error {
	path := "/v1/upstreams/" + url.PathEscape(r.Registration.Service) +
		"?address=" + url.QueryEscape(r.Registration.Address)
	for {
		var reply struct {
			Left bool `json:"left"`
		}
		status, err := r.call(ctx, http.MethodDelete, path, nil, &reply)
		switch {
		case err != nil:
			return err
		case status != http.StatusOK && status != http.StatusAccepted:
			return eris.Errorf("the agent rejected the request to leave with status %d", status)
		case reply.Left:
			return nil
		}
		select {
		case <-time.After(leavePollInterval):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "leaving")
		}
	}
}

func (r *Registrar) call(ctx context.Context, method, path string, body []byte, reply any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Agent+path, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "building the request")
	}
	client, err := r.client()
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "calling the agent")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil {
		return 0, eris.Wrap(err, "reading the response of the agent")
	}
	if response.StatusCode < http.StatusMultipleChoices {
		err = eris.Wrap(json.Unmarshal(raw, reply), "decoding the response of the agent")
	}
	return response.StatusCode, err
}

// client returns a client that calls from the registered IP address, since an agent accepts a registration only from that
// address. Without an explicit local address, calls to any loopback address come from 127.0.0.1.
func (r *Registrar) client() (*http.Client, error) {
	address, err := netip.ParseAddrPort(r.Registration.Address)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the registered address")
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: address.Addr().AsSlice()}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}, nil
}
