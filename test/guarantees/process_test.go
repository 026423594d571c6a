package guarantees_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
	"github.com/quetzalshed/quetzalshed/test/processtest"
)

// process is an entry or an agent that runs as a separate process.
type process struct {
	c             *qt.C
	role          kernel.Role
	name          string
	listen, admin string
	settings      string
	cmd           *exec.Cmd
	// pid is the process ID of cmd, or 0 while the process doesn't run.
	pid atomic.Int64
	// storeLink forwards to the store. peerLink forwards from all other processes to this one; its address is advertised.
	storeLink, peerLink *faultnet.Forwarder
}

func (p *process) configure(domain, peers, more string) {
	text := fmt.Sprintf(`[process]
name = %s
fleet = test
failure_domain = %s
listen = %s
advertise = %s
admin_listen = %s
drain_notice = 1s
drain_limit = 20s
log_level = error
[store]
address = %s
[config]
poll_interval = 100ms
[gossip]
peers = %s
interval = 100ms
%s`, p.name, domain, p.listen, p.peerLink.Address(), p.admin, p.storeLink.Address(), peers, more)
	p.c.Assert(os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)
}

// start runs the process until it is killed or stopped, or the test ends.
func (p *process) start() {
	cmd := processtest.Command(p.role, p.settings)
	p.c.Assert(cmd.Start(), qt.IsNil)
	p.cmd = cmd
	p.pid.Store(int64(cmd.Process.Pid))
	p.c.Cleanup(func() {
		if p.cmd == cmd {
			p.kill()
		}
	})
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.pid.Store(0)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

func (p *process) signal(s syscall.Signal) { p.c.Assert(p.cmd.Process.Signal(s), qt.IsNil) }

// pause suspends the process until resume.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop shuts the process down gracefully and returns its exit error.
func (p *process) stop() error {
	cmd := p.cmd
	p.cmd = nil
	p.c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	defer p.pid.Store(0)
	return cmd.Wait()
}

// cutStore resets and refuses the connections to the store until restoreStore.
func (p *process) cutStore() {
	p.storeLink.SetRefuse(true)
	p.storeLink.Cut()
}
func (p *process) restoreStore() { p.storeLink.SetRefuse(false) }

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

func (p *process) respondsOK(path string) bool {
	response, err := client.Get("http://" + p.listen + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) ready() bool {
	response, err := client.Get("http://" + p.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configHead returns the configuration head that an entry holds.
func (p *process) configHead() (revision int64, out map[string]bool, ok bool) {
	response, err := client.Get("http://" + p.listen + "/v1/config")
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Head struct {
			Revision int64 `json:"revision"`
			Domains  map[string]struct {
				Out bool `json:"out"`
			} `json:"domains"`
		} `json:"head"`
	}
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return 0, nil, false
	}
	out = map[string]bool{}
	for name, domain := range status.Head.Domains {
		out[name] = domain.Out
	}
	return status.Head.Revision, out, true
}
