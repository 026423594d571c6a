package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store/storetest"

	_ "github.com/quetzalshed/quetzalshed/config/configmodule"
	_ "github.com/quetzalshed/quetzalshed/entry/operators"
	_ "github.com/quetzalshed/quetzalshed/gossip"
	_ "github.com/quetzalshed/quetzalshed/store/storemodule"
	"github.com/quetzalshed/quetzalshed/test/loopback"
	"github.com/quetzalshed/quetzalshed/test/processtest"
)

func TestMain(m *testing.M) { os.Exit(processtest.Main(m)) }

// startProcess runs a process until the test ends and returns its address.
func startProcess(t *testing.T, role kernel.Role, name, storeAddress, peers string) string {
	address := loopback.Address()
	path := filepath.Join(t.TempDir(), name+".ini")
	text := fmt.Sprintf(`[process]
name = %s
fleet = test
failure_domain = patan
listen = %s
admin_listen = %s
drain_notice = 0s
drain_limit = 10s
log_level = error
[store]
address = %s
[config]
poll_interval = 20ms
[gossip]
peers = %s
interval = 20ms
`, name, address, loopback.Address(), storeAddress, peers)
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	cmd := processtest.Command(role, path)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
		qt.Check(t, cmd.Wait(), qt.IsNil)
	})
	return address
}

// run executes the command and returns its exit status and its output, or the error message on failure.
func run(entry string, args ...string) (status int, output string) {
	var out bytes.Buffer
	cmd := command()
	cmd.SetArgs(append([]string{"--entry", entry}, args...))
	cmd.SetOut(&out)
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		return exitStatus(err), err.Error()
	}
	return 0, out.String()
}

// waitForOutput repeats a command until its output contains a text.
func waitForOutput(t *testing.T, text, entry string, args ...string) {
	output := ""
	// The number of attempts is limited so that a failing test ends.
	for range 3000 {
		if _, output = run(entry, args...); strings.Contains(output, text) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("output of %v does not contain %q:\n%s", args, text, output)
}

// waitUntilServed repeats a request until it succeeds, for example until an agent that doesn't poll the store has received
// a head by gossip and loaded its rules.
func waitUntilServed(t *testing.T, url string) {
	// Errors are ignored because the process may not listen yet. The number of attempts is limited so that a failing test
	// ends.
	for range 3000 {
		response, err := http.Get(url)
		if err == nil {
			qt.Check(t, response.Body.Close(), qt.IsNil)
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s is not served", url)
}

func example(name string) string { return filepath.Join("..", "..", "examples", "bagmati", name) }

// Guards against incompatible changes of the commands, the operators' API, polling and gossip. Two entries and an agent
// share one store; the agent doesn't poll the store, so it receives changes by gossip only.
func TestConfigurationChanges(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.System{})
	server := httptest.NewServer(backend.Handler())
	defer server.Close()
	storeAddress := strings.TrimPrefix(server.URL, "http://")
	first := startProcess(t, kernel.RoleEntry, "entry-1", storeAddress, "")
	second := startProcess(t, kernel.RoleEntry, "entry-2", storeAddress, first)
	agent := startProcess(t, kernel.RoleAgent, "agent-1", storeAddress, first+", "+second)
	waitForOutput(t, "revision   0", first, "status")

	status, output := run(first, "inventory", "apply", example("inventory.csv"))
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	waitForOutput(t, "revision   1 (loaded 1)", second, "status")
	status, output = run(second, "rules", "apply", example("rules.ini"))
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	status, output = run(first, "rules", "apply", "--base", "1", example("rules.ini"))
	c.Assert(status, qt.Equals, exitConflict)
	c.Assert(output, qt.Contains, "based on revision 1, and the configuration is at revision 2")
	status, output = run(first, "domain", "out", "patan")
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	waitForOutput(t, "patan                                4 workers  out of service", second, "status")
	waitForOutput(t, "price-check", second, "config", "show", "rules")
	head, err := config.NewAcceptor(backend, config.NewBlobs()).Current(context.Background())
	c.Assert(err, qt.IsNil)
	waitUntilServed(t, "http://"+agent+"/v1/config/blobs/rules/"+head.RulesHash)
	waitForOutput(t, "bhaktapur-03", first, "config", "show", "inventory")

	invalid := filepath.Join(t.TempDir(), "rules.ini")
	c.Assert(os.WriteFile(invalid, []byte("[cluster]\nshards = 0\nshrads = 1\n"), 0o600), qt.IsNil)
	expected := invalid + ":2 [cluster] shards: 0 is below the minimum 1\n" + invalid + ":3 [cluster] shrads: unknown key"
	for _, extra := range [][]string{nil, {"--check"}} {
		status, output = run(first, append([]string{"rules", "apply", invalid}, extra...)...)
		c.Assert(status, qt.Equals, exitFailed)
		c.Assert(output, qt.Equals, expected)
	}
	status, _ = run(first, "domain", "out", "mars")
	c.Assert(status, qt.Equals, exitFailed)
}

// Guards against exit statuses that don't match the outcome of a change while the store fails, and against a repeated
// change that is applied twice.
func TestExitStatusDuringStoreFaults(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.System{})
	server := httptest.NewServer(backend.Handler())
	defer server.Close()
	entry := startProcess(t, kernel.RoleEntry, "entry-1", strings.TrimPrefix(server.URL, "http://"), "")
	waitForOutput(t, "revision   0", entry, "status")
	status, output := run(entry, "inventory", "apply", example("inventory.csv"))
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	backend.SetFaults(storetest.Faults{Down: true})
	status, _ = run(entry, "domain", "out", "patan")
	c.Assert(status, qt.Equals, exitNotApplied)
	backend.SetFaults(storetest.Faults{LoseResponses: 1})
	status, output = run(entry, "domain", "out", "patan")
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", output))
	backend.SetFaults(storetest.Faults{LoseRequests: 100})
	status, output = run(entry, "domain", "in", "patan", "--change", "return-patan")
	c.Assert(status, qt.Equals, exitResultUnknown)
	c.Assert(output, qt.Contains, "(change return-patan)")
	backend.SetFaults(storetest.Faults{})
	for range 2 {
		status, output = run(entry, "domain", "in", "patan", "--change", "return-patan")
		c.Assert(status, qt.Equals, 0)
		c.Assert(output, qt.Contains, "revision 3 in force (change return-patan)")
	}
	status, _ = run(loopback.Address(), "status")
	c.Assert(status, qt.Equals, exitNotApplied)
}

// Guards against an unknown result without the ID that makes the call safe to repeat, and against an ID on other errors.
func TestOnlyUnknownResultsNameTheID(t *testing.T) {
	c := qt.New(t)
	cause := errors.New("no response")
	for _, test := range []struct {
		status int
		text   string
	}{
		{exitFailed, "no response"},
		{exitConflict, "no response"},
		{exitNotApplied, "no response"},
		{exitResultUnknown, "no response (job j1)"},
	} {
		err := addID(&exitError{test.status, cause}, "job", "j1")
		c.Assert(err.Error(), qt.Equals, test.text)
		c.Assert(exitStatus(err), qt.Equals, test.status)
		c.Assert(err, qt.ErrorIs, cause)
	}
}
