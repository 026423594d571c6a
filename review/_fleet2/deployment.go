package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalshed/quetzalshed/platform/platformtest"
)

// Ports of the hosts. Each host has a loopback address of its own.
const (
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	internalPort = 7720
	storePort    = 8169
)

// Bounds of the small deployments, as their pages give them.
const (
	heartbeatTime = 1500 * time.Millisecond
	holdMax       = 10 * time.Second
	stopTime      = 200 * time.Millisecond
	graceTime     = 6 * time.Second
	contactTime   = 3 * time.Second
	cancelTime    = 3 * time.Second
)

const (
	// readyTimeout is how long the gateway may take to get ready, and warmUp how long executors announce themselves before the first job.
	readyTimeout = 30 * time.Second
	warmUp       = 4 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	service      = "huvo11a"
	queueHost    = "nony24.example"
	// frontMemoryMB and sideMemoryMB are the memory of the hosts of the small deployments.
	frontMemoryMB, sideMemoryMB = 284, 152
	frontFiles, sideFiles       = 4100, 4096
)

// deployment is a store, one gateway and a number of nodes with their executors, all on loopback addresses.
type deployment struct {
	record    *record
	dir       string
	programs  string
	network   string
	anchor    net.Listener
	store     *platformtest.Store
	servers   []*http.Server
	executors []*executor
	mu        sync.Mutex
	// processes holds the running programs by the names of their hosts.
	processes map[string]*exec.Cmd
	// needs holds the CPU, in thousandths of a core, that each job requests for a task.
	needs map[string]int64
	// behaviour decides how long a run takes and how it ends.
	behaviour func(task string, run int) (time.Duration, string)
	// checkpoint returns the checkpoints of a task; nil if tasks save none.
	checkpoint func(task string) string
	// wrapStore adds faults to the store; nil for none.
	wrapStore func(http.Handler) http.Handler
}

// queue is a route of the configuration.
type queue struct {
	prefix              string
	priority, attempts  int
	stretch, objectives float64
}

var queues = []queue{
	{"/lohu930/", 0, 2, 1.5, 300},
	{"/pufi791/", 2, 4, 2, 1000},
	{"/pule252/", 0, 2, 2.2, 2500},
}

// host describes a side host.
type host struct {
	zone   string
	labels []string
}

// start starts everything and waits until jobs are accepted.
func (d *deployment) start(hosts []host) error {
	if err := d.reserveNetwork(); err != nil {
		return err
	}
	d.needs, d.processes = map[string]int64{}, map[string]*exec.Cmd{}
	d.store = platformtest.NewStore()
	handler := d.store.Handler("all", func(value []byte) []byte { return value })
	if d.wrapStore != nil {
		handler = d.wrapStore(handler)
	}
	if err := d.serve(d.address(200, storePort), handler); err != nil {
		return err
	}
	d.configure()
	front := platformtest.Settings{
		Name: "front-z1-1", Zone: "z1", IP: d.ip(100), Front: d.address(100, frontPort), Ready: d.address(100, readyPort),
		MemoryMB: frontMemoryMB, MaxFDs: frontFiles,
	}
	if err := d.launch("quetzalshed-gateway", &front); err != nil {
		return err
	}
	for i, h := range hosts {
		number := 101 + i
		side := platformtest.Settings{
			Name: fmt.Sprintf("side-%s-%d", h.zone, number), Zone: h.zone, IP: d.ip(number), Control: d.address(number, controlPort),
			App: d.address(number, appPort), Service: service, MemoryMB: sideMemoryMB, MaxFDs: sideFiles,
		}
		if err := d.launch("quetzalshed-node", &side); err != nil {
			return err
		}
		x := &executor{deployment: d, name: side.Name, zone: h.zone, labels: h.labels, address: side.App, control: side.Control}
		d.executors = append(d.executors, x)
		if err := x.start(); err != nil {
			return err
		}
	}
	if !d.awaitReady() {
		return fmt.Errorf("the gateway isn't ready")
	}
	time.Sleep(warmUp)
	return nil
}

// reserveNetwork takes a network of loopback addresses that no other run uses.
func (d *deployment) reserveNetwork() error {
	for second := 20; second < 250; second++ {
		d.network = fmt.Sprintf("127.%d.77.", second)
		anchor, err := net.Listen("tcp", d.address(99, storePort))
		if err == nil {
			d.anchor = anchor
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free")
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s%d", d.network, host) }

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(host), port)
}

func (d *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// configure writes the configuration as the operator does.
func (d *deployment) configure() {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r" + q.prefix[1:len(q.prefix)-1], "host": queueHost, "prefix": q.prefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": q.objectives, "priority": q.priority, "service": service, "maxAttempts": q.attempts, "stretch": q.stretch,
		})
	}
	d.store.Put("op/config", map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"preconditions": true, "spare": false,
		}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// launch starts a program of the project with the command of the deploy file.
func (d *deployment) launch(program string, s *platformtest.Settings) error {
	s.InternalPort, s.Store, s.Heartbeat, s.MaxLease, s.Grace, s.StopTime = internalPort, d.address(200, storePort), heartbeatTime, holdMax, graceTime, stopTime
	path := filepath.Join(d.dir, s.Name+".yaml")
	if err := os.WriteFile(path, []byte(s.YAML()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.dir, s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(filepath.Join(d.programs, program))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C", "QUETZALSHED_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.processes[s.Name] = cmd
	d.mu.Unlock()
	d.record.addf("process %s started (%s)", s.Name, program)
	go func() {
		state := cmd.Wait()
		if d.record.isClosing() {
			return
		}
		d.record.addf("process %s has ended: %v", s.Name, state)
		// The platform starts a process again that has ended.
		time.Sleep(restartDelay)
		if !d.record.isClosing() {
			_ = d.launch(program, s)
		}
	}()
	return nil
}

// signal sends a signal to the program of a host.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.processes[name]; p != nil {
		d.record.addf("process %s gets %v", name, s)
		_ = p.Process.Signal(s)
	}
}

func (d *deployment) awaitReady() bool {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		response, err := http.Get("http://" + d.address(100, readyPort) + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop ends all processes and servers.
func (d *deployment) stop() {
	d.record.close()
	d.mu.Lock()
	for _, p := range d.processes {
		_ = p.Process.Kill()
	}
	d.mu.Unlock()
	for _, x := range d.executors {
		x.end("is stopped")
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.store != nil {
		d.store.Stop()
	}
	if d.anchor != nil {
		_ = d.anchor.Close()
	}
}
