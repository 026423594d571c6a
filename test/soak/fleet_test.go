package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/platform/platformtest"
)

// Hosts are numbered: first those of gateways, then those of nodes.
const (
	frontHosts = 3
	sideHosts  = 11
	hosts      = frontHosts + sideHosts
	zones      = 3
)

const (
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	internalPort = 7720
	storePort    = 8169
)

const (
	readyTimeout  = 60 * time.Second
	readyInterval = 100 * time.Millisecond
	configKey     = "op/config"
	firstVersion  = 7
	// secondHosts is how many of the last hosts have executors of the second service.
	secondHosts = 4
	// warmUp is how long executors announce themselves before the clients start.
	warmUp = 3 * time.Second
)

// The memory in MB and the file descriptors of the smallest front and side hosts.
const (
	frontMemoryMB    = 184
	frontDescriptors = 4100
	sideMemoryMB     = 152
	sideDescriptors  = 4096
)

// serviceKind is a kind of executors.
type serviceKind struct {
	name string
	// cpu is the capacity of an executor, in thousandths of a core.
	cpu int64
	// guarded is set if the executors reject starts that don't fit.
	guarded bool
}

// fleet is a deployment on loopback addresses. Each process has its own view of the addresses of the others, which leads
// through proxies.
type fleet struct {
	seed      uint64
	record    *journal
	dir       string
	programs  string
	network   string
	store     *platformtest.Store
	oracle    *oracle
	executors []*executor
	processes []*process
	// peers holds the links from host to host, storeLinks those to the store, and apps those from a node to its executor.
	peers      [hosts][hosts]*link
	storeLinks [hosts]*link
	apps       [hosts]*link
	servers    []*http.Server
	clients    *clients
	anchor     net.Listener
	services   []serviceKind
	// stopTime is the time that an executor may take to stop a run, by the settings of the processes.
	stopTime time.Duration
	// restartZones holds the zones whose executors no series restarts and cuts off at the moment.
	restartZones chan int
}

func newFleet(draw *rand.Rand, record *journal, dir, programs string) (*fleet, error) {
	f := &fleet{seed: *seedFlag, record: record, dir: dir, programs: programs, store: platformtest.NewStore(), oracle: newOracle(record)}
	if err := f.reserveNetwork(); err != nil {
		return nil, err
	}
	f.stopTime = time.Duration(f.drawFor("stop time").Int64N(int64(platformtest.LongestStopTime) + 1)).Round(time.Millisecond)
	record.addf("a stop takes %v at most", f.stopTime)
	f.restartZones = make(chan int, zones)
	for _, zone := range draw.Perm(zones) {
		f.restartZones <- zone
	}
	f.services = []serviceKind{
		{name: firstService, cpu: 32000, guarded: draw.IntN(3) > 0},
		{name: secondService, cpu: 16000, guarded: draw.IntN(3) == 0},
	}
	for host := range hosts {
		name, program := fmt.Sprintf("front-%s-%d", zoneOf(host), 1+host/3), "quetzalshed-gateway"
		if host >= frontHosts {
			name, program = fmt.Sprintf("side-%s-%d", zoneOf(host), 1+(host-frontHosts)/3), "quetzalshed-node"
			f.executors = append(f.executors, &executor{
				fleet: f, name: name, host: host, zone: zoneOf(host), waitsForNewEnd: draw.IntN(2) == 0, service: f.serviceOf(host),
			})
		}
		f.processes = append(f.processes, &process{fleet: f, name: name, host: host, program: filepath.Join(programs, program)})
	}
	return f, nil
}

// reserveNetwork takes a network of its own, so that several fleets can run side by side.
func (f *fleet) reserveNetwork() error {
	for second := 16; second < 250; second++ {
		network := fmt.Sprintf("127.%d.", second)
		anchor, err := net.Listen("tcp", fmt.Sprintf("%s100.99:%d", network, storePort))
		if err == nil {
			f.network, f.anchor = network, anchor
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free")
}

func (f *fleet) serviceOf(host int) serviceKind {
	if host >= hosts-secondHosts {
		return f.services[1]
	}
	return f.services[0]
}

func zoneOf(host int) string { return []string{"nrv-a", "prn-a", "trt-a"}[host%zones] }

// realAddress returns the address on which a process or an executor of a host listens.
func (f *fleet) realAddress(host, port int) string {
	return fmt.Sprintf("%s100.%d:%d", f.network, 100+host, port)
}

// seenAddress returns the address under which a host reaches another one.
func (f *fleet) seenAddress(by, host, port int) string {
	return fmt.Sprintf("%s%d.%d:%d", f.network, 110+by, 100+host, port)
}

func (f *fleet) storeAddress(by int) string {
	return fmt.Sprintf("%s%d.200:%d", f.network, 110+by, storePort)
}

// view returns a function that replaces the addresses of processes in messages to a host by those that it reaches them under.
func (f *fleet) view(host int) func([]byte) []byte {
	from, to := []byte(f.network+"100."), fmt.Appendf(nil, "%s%d.", f.network, 110+host)
	own, self := []byte(f.seenAddress(host, host, internalPort)), []byte(f.realAddress(host, internalPort))
	return func(data []byte) []byte {
		if !bytes.Contains(data, from) {
			return data
		}
		return bytes.ReplaceAll(bytes.ReplaceAll(data, from, to), own, self)
	}
}

// start starts the store, the links, the programs and the executors, and waits until the gateways are ready.
func (f *fleet) start() error {
	for host := range hosts {
		if err := f.connect(host); err != nil {
			return err
		}
	}
	f.configure(firstVersion, func(*jobKind) string { return "" })
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, x := range f.executors {
		if err := x.start(false); err != nil {
			return err
		}
	}
	for host := range frontHosts {
		if !f.awaitReady(host) {
			return fmt.Errorf("gateway of host %d isn't ready", host)
		}
	}
	time.Sleep(warmUp)
	return nil
}

// connect sets up the links of a host.
func (f *fleet) connect(host int) error {
	storeServer := fmt.Sprintf("%s100.%d:%d", f.network, 200+host, storePort)
	listener, err := net.Listen("tcp", storeServer)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store.Handler(f.processes[host].name, f.view(host))}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	if f.storeLinks[host], err = newLink(f.storeAddress(host), storeServer, nil); err != nil {
		return err
	}
	for other := range hosts {
		if other == host {
			continue
		}
		if f.peers[host][other], err = newLink(f.seenAddress(host, other, internalPort), f.realAddress(other, internalPort), f.view(other)); err != nil {
			return err
		}
	}
	if host >= frontHosts {
		if f.apps[host], err = newLink(f.seenAddress(host, host, appPort), f.realAddress(host, appPort), nil); err == nil {
			f.apps[host].setLimit(maxConnections)
		}
	}
	return err
}

// configure writes a configuration. serviceOf draws the service of a queue; empty stands for the first one.
func (f *fleet) configure(version int, serviceOf func(*jobKind) string) {
	routes := []map[string]any{}
	for i, kind := range jobKinds {
		service := cmp.Or(serviceOf(&kind), kind.services[0])
		f.oracle.nameService(kind.prefix, service)
		f.record.addf("configuration %d sends queue %s to %s", version, kind.prefix, service)
		routes = append(routes, map[string]any{
			"name": strings.Trim(kind.prefix, "/"), "host": queueHost, "prefix": kind.prefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": i % 2, "service": service, "maxAttempts": 4, "stretch": 2.0,
		})
	}
	services := []map[string]any{}
	for _, s := range f.services {
		services = append(services, map[string]any{"name": s.name, "healthPath": "/health", "preconditions": s.guarded, "spare": false})
	}
	f.store.Put(configKey, map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (f *fleet) awaitReady(host int) bool {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyInterval) {
		if response, err := http.Get("http://" + f.realAddress(host, readyPort) + "/v1/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// settings returns the settings file of a host.
func (f *fleet) settings(host int) string {
	s := platformtest.Settings{
		Name: f.processes[host].name, IP: fmt.Sprintf("%s100.%d", f.network, 100+host), Zone: zoneOf(host), InternalPort: internalPort,
		Store: f.storeAddress(host), Heartbeat: heartbeatTime, MaxLease: holdMax, Grace: graceTime, StopTime: f.stopTime,
	}
	if host < frontHosts {
		s.Front, s.Ready = f.realAddress(host, frontPort), f.realAddress(host, readyPort)
		s.MemoryMB, s.MaxFDs = frontMemoryMB, frontDescriptors
	} else {
		s.Control, s.App, s.Service = f.realAddress(host, controlPort), f.seenAddress(host, host, appPort), f.serviceOf(host).name
		s.MemoryMB, s.MaxFDs = sideMemoryMB, sideDescriptors
	}
	return s.YAML()
}

// owner returns the process that owns the jobs, or nil if none does.
func (f *fleet) owner() *process {
	value, ok := f.store.Value(ownership.OwnerKey)
	var holder struct {
		Node string `json:"node"`
	}
	if !ok || json.Unmarshal(value, &holder) != nil {
		return nil
	}
	for _, p := range f.processes {
		if p.name == holder.Node {
			return p
		}
	}
	return nil
}

// links returns all links of the fleet.
func (f *fleet) links() (all []*link) {
	for host := range hosts {
		all = append(append(all, f.peers[host][:]...), f.storeLinks[host], f.apps[host])
	}
	return slices.DeleteFunc(all, func(l *link) bool { return l == nil })
}

// peakConnections returns the largest number of connections that a node has had to its executor.
func (f *fleet) peakConnections() int {
	peak := 0
	for _, l := range f.apps[frontHosts:] {
		l.mu.Lock()
		peak = max(peak, l.peak)
		l.mu.Unlock()
	}
	return peak
}

// stop ends everything that the fleet has started.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.stop()
	}
	for _, x := range f.executors {
		x.end("is stopped", connectionsReset)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.store.Stop()
	for _, l := range f.links() {
		l.refuse()
		l.reset()
	}
	_ = f.anchor.Close()
	f.record.flush()
}

// writeSettings writes the settings file of a host and returns its path.
func (f *fleet) writeSettings(host int) (string, error) {
	path := filepath.Join(f.dir, f.processes[host].name+".yaml")
	return path, os.WriteFile(path, []byte(f.settings(host)), 0o600)
}
