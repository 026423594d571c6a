package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each host, as in the settings of the platform. Each host has a loopback address of its own.
const (
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	internalPort = 7720
	metricsPort  = 9464
	storePort    = 8169
)

const (
	// frontMemory and sideMemory are the memory limits of processes in MB. The platform kills a process that exceeds its limit.
	frontMemory, sideMemory = 284, 152
	// restartDelay is how long the platform waits before it starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	// memoryCheckInterval is how often the memory of the processes is compared with their limits.
	memoryCheckInterval = 20 * time.Millisecond
	service             = "motion7a"
	queueHost           = "jobs.example"
)

// layout describes the hosts and queues of a fleet.
type layout struct {
	fronts, sides int
	cpu           int64
	// kinds holds the kinds of the executors, which are among their labels, in turn.
	kinds  []string
	routes []map[string]any
}

// route returns the configuration of a queue.
func route(name, prefix string, priority, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
		"priority": priority, "service": service, "maxAttempts": maxAttempts, "stretch": 2.0,
	}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	layout    layout
	rec       *record
	dir       string
	network   string
	store     *store
	workload  *workload
	executors []*executor
	processes []*process
	servers   []*http.Server
	// stopTime is the time that an executor may take to stop a run, by the settings of the processes.
	stopTime time.Duration

	mu      sync.Mutex
	stopped bool
	deaths  []string
}

// process is a program of the project that runs on a host, and is started again whenever it ends.
type process struct {
	fleet    *fleet
	name     string
	program  string
	settings string
	memoryMB int
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newFleet(l layout, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{layout: l, rec: rec, dir: dir, stopTime: rand.N(longestStopTime + 1).Round(time.Millisecond)}
	rec.addf("a stop takes %v at most", f.stopTime)
	for range 100 {
		f.network = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		if f.isFree() {
			break
		}
	}
	f.store = newStore()
	f.workload = &workload{rec: rec, gangs: map[string]map[string]*run{}}
	return f, nil
}

// isFree reports whether the ports that the case needs are free.
func (f *fleet) isFree() bool {
	for host := 1; host <= 1+f.layout.fronts+f.layout.sides; host++ {
		for _, port := range []int{frontPort, readyPort, controlPort, appPort, internalPort, metricsPort, storePort} {
			l, err := net.Listen("tcp", f.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(host, port int) string {
	return f.network + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

func zoneOf(i int) string { return []string{"tln-a", "tln-b", "trt-a"}[i%3] }

// front returns the address of a gateway for clients.
func (f *fleet) front(i int) string { return f.address(2+i, frontPort) }

// start starts the store, the executors and the programs, and waits until the gateways are ready.
func (f *fleet) start() error {
	listener, err := net.Listen("tcp", f.address(1, storePort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store.handler()}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	f.store.put("op/config", map[string]any{
		"version": 7, "routes": f.layout.routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "preconditions": true, "spare": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range f.layout.fronts {
		f.addProcess(2+i, fmt.Sprintf("front-%s-%d", zoneOf(i), 1+i/3), "target/quetzalshed-gateway", "front", frontMemory)
	}
	for i := range f.layout.sides {
		host := 2 + f.layout.fronts + i
		name := fmt.Sprintf("side-%s-%d", zoneOf(i), 1+i/3)
		f.executors = append(f.executors, &executor{
			workload: f.workload, name: name, address: f.address(host, appPort), control: f.address(host, controlPort), zone: zoneOf(i),
			service: service, labels: []string{f.layout.kinds[i%len(f.layout.kinds)], fmt.Sprintf("r-%d", i/3)}, cpu: f.layout.cpu, mem: 64000,
			stopTime: f.stopTime,
		})
		f.addProcess(host, name, "target/quetzalshed-node", "side", sideMemory)
	}
	for _, p := range f.processes {
		if err := p.launch(); err != nil {
			return err
		}
	}
	go f.watchMemory()
	for _, x := range f.executors {
		if err := x.start(); err != nil {
			return err
		}
	}
	for i := range f.layout.fronts {
		if !f.awaitReady(f.address(2+i, readyPort)) {
			return fmt.Errorf("gateway %d isn't ready", i)
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

func (f *fleet) awaitReady(address string) bool {
	for range 100 {
		if response, err := http.Get("http://" + address + "/v1/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// addProcess writes the settings of a host and adds its process.
func (f *fleet) addProcess(host int, name, program, class string, memoryMB int) {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName: %q", name)
	line("role: %q", map[string]string{"front": "gateway", "side": "node"}[class])
	line("machineClass: %q", class)
	line("serves:\n  - %q", class)
	line("ip: %q", f.network+strconv.Itoa(host))
	line("zone: %q", zoneOf((host-2)%max(f.layout.fronts, 1)))
	line("region: \"ee-north\"")
	line("zones:\n  tln-a: \"ee-north\"\n  tln-b: \"ee-north\"\n  trt-a: \"ee-north\"")
	line("listen:")
	if class == "front" {
		line("  front: %q\n  ready: %q", f.address(host, frontPort), f.address(host, readyPort))
	} else {
		line("  control: %q", f.address(host, controlPort))
	}
	line("internalPorts:\n  - %d\n  - %d", internalPort, internalPort+15)
	line("bootstrap: true\ndiscovery: \"local\"\nentry: \"vip\"\nheartbeatMs: 1500")
	line("limits:\n  cores: 1\n  memoryMb: %d", memoryMB)
	line("bounds:\n  contactMs: 3000\n  graceS: 6\n  holdMaxMs: 10000\n  stopTimeoutMs: %d\n  gangTimeoutMs: 3000\n  farX: 1.5\n  leaseMs: 3000", f.stopTime.Milliseconds())
	line("commands: \"invocation\"")
	if class == "side" {
		line("app: %q\nservice: %q", f.address(host, appPort), service)
	}
	line("platform:\n  address: %q\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000", f.address(1, storePort))
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		panic(err)
	}
	f.processes = append(f.processes, &process{fleet: f, name: name, program: program, settings: path, memoryMB: memoryMB})
}

// launch starts the program and starts it again whenever it ends.
func (p *process) launch() error {
	if _, err := os.Stat(p.program); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	started := make(chan error, 1)
	go func() {
		for first := true; ; first = false {
			p.mu.Lock()
			if p.fleet.isStopped() {
				p.mu.Unlock()
				return
			}
			cmd := exec.Command("./" + p.program)
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir, "LANG=C", "QUETZALSHED_SETTINGS=" + p.settings}
			cmd.Stdout, cmd.Stderr = output, output
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			err := cmd.Start()
			p.cmd, p.ended = cmd, make(chan struct{})
			ended := p.ended
			p.mu.Unlock()
			if first {
				started <- err
			}
			if err != nil {
				return
			}
			state := "ended"
			if err := cmd.Wait(); err != nil {
				state = err.Error()
			}
			close(ended)
			if p.fleet.isStopped() {
				return
			}
			p.fleet.noteDeath(p.name, state)
			time.Sleep(restartDelay)
		}
	}()
	return <-started
}

func (f *fleet) noteDeath(name, state string) {
	f.mu.Lock()
	f.deaths = append(f.deaths, name)
	f.mu.Unlock()
	f.rec.addf("process of %s: %s; it is started again", name, state)
}

// deathCounts returns how often processes have ended, by name.
func (f *fleet) deathCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, name := range f.deaths {
		counts[name]++
	}
	return counts
}

func (f *fleet) isStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

// watchMemory kills processes that exceed their memory limit, as the platform does.
func (f *fleet) watchMemory() {
	for !f.isStopped() {
		for _, p := range f.processes {
			p.mu.Lock()
			cmd := p.cmd
			p.mu.Unlock()
			if used := residentMB(cmd.Process.Pid); used > p.memoryMB {
				f.rec.addf("process of %s uses %d MB, more than its limit of %d MB, and is killed by the platform", p.name, used, p.memoryMB)
				_ = cmd.Process.Kill()
			}
		}
		time.Sleep(memoryCheckInterval)
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// stop ends everything that the case has started.
func (f *fleet) stop() {
	f.mu.Lock()
	if f.stopped {
		f.mu.Unlock()
		return
	}
	f.stopped = true
	f.mu.Unlock()
	for _, p := range f.processes {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
		ended := p.ended
		p.mu.Unlock()
		if ended != nil {
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
			}
		}
	}
	for _, x := range f.executors {
		x.mu.Lock()
		if x.life != nil {
			close(x.life.done)
			_ = x.life.server.Close()
			x.life = nil
		}
		x.mu.Unlock()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
