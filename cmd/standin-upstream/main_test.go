package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an upstream that stops while its agent still has requests for it.
func TestDeregistersBeforeStopping(t *testing.T) {
	c := qt.New(t)
	registered, leaveRequests, release := make(chan struct{}, 8), make(chan string, 8), make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = w.Write([]byte(`{"renew_after_millis":50}`))
			registered <- struct{}{}
			return
		}
		leaveRequests <- r.URL.Query().Get("address")
		select {
		case <-release:
			_, _ = w.Write([]byte(`{"left":true}`))
		default:
			w.WriteHeader(http.StatusAccepted)
			_, _ = w.Write([]byte(`{"left":false}`))
		}
	}))
	defer agent.Close()
	cmd := command()
	cmd.SetArgs([]string{"--agent", agent.Listener.Addr().String(), "--service", "price", "--service-time", "0s"})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- cmd.ExecuteContext(ctx) }()
	<-registered
	<-registered
	stop()
	address := <-leaveRequests
	resp, err := http.Post("http://"+address+"/x", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	select {
	case err := <-done:
		c.Fatalf("the upstream stopped before the agent let it leave: %v", err)
	default:
	}
	close(release)
	go func() {
		for range leaveRequests {
			continue
		}
	}()
	c.Assert(<-done, qt.IsNil)
}
