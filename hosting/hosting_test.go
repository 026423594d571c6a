package hosting_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/hosting"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/test/loopback"
)

// Guards against a drain that aborts a running request, and against one that refuses connections which the load
// balancer opens before it has noticed the drain.
func TestDrainFinishesRequests(t *testing.T) {
	t.Run("without limits", func(t *testing.T) { testDrain(t, ingress.Limits{}) })
	t.Run("with limits", func(t *testing.T) { testDrain(t, ingress.NewLimits(184, 4100)) })
}

func testDrain(t *testing.T, limits ingress.Limits) {
	c := qt.New(t)
	p := hosting.New("p", "test", hclog.Error, 64<<20, limits)
	defer p.Close()
	address := loopback.Address()
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	c.Assert(p.Serve(address, ingress.MainShare, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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

// Guards against a process that continues when it can't listen on an address, and against one that never stops.
func TestServeAndWait(t *testing.T) {
	p := hosting.New("p", "test", hclog.Error, 64<<20, ingress.Limits{})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, p.Wait(ctx), qt.IsNil)
	address := loopback.Address()
	qt.Assert(t, p.Serve(address, ingress.MainShare, http.NotFoundHandler()), qt.IsNil)
	qt.Assert(t, p.Serve(address, ingress.MainShare, http.NotFoundHandler()), qt.ErrorMatches, ".*listening on.*")
}

// Guards against settings that are applied without a change of the file, and against changes that aren't applied on a
// SIGHUP.
func TestFollowFile(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "file")
	// A signal that is still pending must not show the file between its truncation and the write of its content.
	write := func(content string) {
		next := path + ".next"
		c.Assert(os.WriteFile(next, []byte(content), 0o600), qt.IsNil)
		c.Assert(os.Rename(next, path), qt.IsNil)
	}
	write("a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Keeps a SIGHUP that arrives before FollowFile has registered its handler from ending the test.
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGHUP)
	defer signal.Stop(early)
	applied := make(chan string, 16)
	go hosting.FollowFile(ctx, path, hclog.NewNullLogger(), func(data []byte) error {
		applied <- string(data)
		return nil
	})
	hangUpUntil := func(want string) {
		for {
			c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
			select {
			case got := <-applied:
				c.Assert(got, qt.Equals, want)
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	write("b")
	hangUpUntil("b")
	write("c")
	hangUpUntil("c")
	c.Assert(applied, qt.HasLen, 0)
}
