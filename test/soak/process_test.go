package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is how long the platform waits before it starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
)

// process is a program that runs on a host, and is started again whenever it ends.
type process struct {
	fleet   *fleet
	name    string
	host    int
	program string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// off is how long the next start is delayed beyond restartDelay.
	off  time.Duration
	gone chan struct{}
}

// start starts the program, and starts it again whenever it ends until stop is called.
func (p *process) start() error {
	settings, err := p.fleet.writeSettings(p.host)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.gone = make(chan struct{})
	if err := p.launch(settings, output); err != nil {
		close(p.gone)
		return err
	}
	go func() {
		defer close(p.gone)
		defer output.Close()
		for {
			state := p.cmd.Wait()
			p.mu.Lock()
			off, stopped := p.off, p.stopped
			p.off = 0
			p.mu.Unlock()
			if stopped {
				return
			}
			p.fleet.record.addf("process %s has ended: %v", p.name, state)
			time.Sleep(restartDelay + off)
			if err := p.launch(settings, output); err != nil {
				p.fleet.record.addf("process %s not started: %v", p.name, err)
				return
			}
		}
	}()
	return nil
}

func (p *process) launch(settings string, output *os.File) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir, "LANG=C", "QUETZALSHED_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	if p.stopped {
		_ = cmd.Process.Kill()
	}
	return nil
}

// signal sends a signal to the program. After one that ends it, it stays off for a time.
func (p *process) signal(s syscall.Signal, off time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped {
		return
	}
	p.fleet.record.addf("process %s gets %v", p.name, s)
	p.off = off
	_ = p.cmd.Process.Signal(s)
}

// send sends a signal that doesn't end the program.
func (p *process) send(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.stopped {
		_ = p.cmd.Process.Signal(s)
	}
}

// terminate sends SIGTERM, and SIGKILL after graceTime.
func (p *process) terminate() {
	p.mu.Lock()
	before := p.cmd
	p.mu.Unlock()
	p.signal(syscall.SIGTERM, 0)
	time.AfterFunc(graceTime, func() {
		p.mu.Lock()
		same := p.cmd == before
		p.mu.Unlock()
		if same {
			p.signal(syscall.SIGKILL, 0)
		}
	})
}

// stop ends the program for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	if p.gone != nil {
		<-p.gone
	}
}
