package hosting_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/hosting"
	"github.com/quetzalshed/quetzalshed/test/loopback"
)

// Guards against a planned stop that cuts a request under way, and against one that refuses connections which the load
// balancer still opens before it has noticed the stop.
func TestDrainFinishesRequests(t *testing.T) {
	c := qt.New(t)
	p := hosting.New("p", "test", hclog.Error, 64<<20)
	defer p.Close()
	address := loopback.Address()
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	c.Assert(p.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	})), qt.IsNil)
	bodies := make(chan string, 2)
	ask := func() {
		client := &http.Client{Transport: &http.Transport{}}
		response, err := client.Get("http://" + address)
		if err != nil {
			bodies <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		bodies <- string(body)
	}
	go ask()
	<-arrived
	drained := make(chan struct{})
	go func() {
		p.Drain(500*time.Millisecond, time.Minute)
		close(drained)
	}()
	for !p.Draining() {
		time.Sleep(time.Millisecond)
	}
	go ask()
	<-arrived
	close(release)
	c.Assert(<-bodies, qt.Equals, "whole")
	c.Assert(<-bodies, qt.Equals, "whole")
	<-drained
	_, err := http.Get("http://" + address)
	c.Assert(err, qt.IsNotNil)
}

// Guards against a process that goes on without an address that it should serve, and against one that never stops.
func TestServeAndWait(t *testing.T) {
	p := hosting.New("p", "test", hclog.Error, 64<<20)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, p.Wait(ctx), qt.IsNil)
	address := loopback.Address()
	qt.Assert(t, p.Serve(address, http.NotFoundHandler()), qt.IsNil)
	qt.Assert(t, p.Serve(address, http.NotFoundHandler()), qt.ErrorMatches, ".*listening on.*")
}
