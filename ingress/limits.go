package ingress

import "time"

// Limits are the limits of the HTTP servers of a process. Zero values mean no limit.
type Limits struct {
	// BodyBytes is the memory for bodies that are being read or processed, including what decoding them allocates.
	BodyBytes int64
	// Connections is the number of open connections that all listeners of the process share.
	Connections int
	// HeapBytes is the soft memory limit of the Go runtime.
	HeapBytes int64
}

// Share is the part of Limits.Connections that a listener may use, in sixteenths.
type Share int

// Shares of the listeners of a process. Together, one main, one secondary and two minor listeners use all connections, or one
// with all but a minor share and a minor one.
const (
	AllButMinorShare Share = 15
	MainShare        Share = 10
	SecondaryShare   Share = 4
	MinorShare       Share = 1
	shareUnits             = 16
)

const (
	// MB is the unit of the memory limit in the settings, in bytes. The smaller of the usual meanings is safe for both.
	MB = 1_000_000

	// programBytes is the memory that the program text takes: 14.5 MB of its 22 MB are resident in a gateway that has served some
	// requests.
	programBytes = 20 * MB
	// systemDivisor is the fraction of the memory that is left to the operating system, for instance for bytes that connections
	// have received and that have not been read, and for garbage beyond the soft memory limit of the Go runtime.
	systemDivisor = 8
	// minHeapBytes is the least soft memory limit, below which the garbage collector would run all the time.
	minHeapBytes = 24 * MB

	// bodyDivisor is the fraction of the memory for bodies. Three quarters of it hold a report of 8 MiB and its decoded form on
	// the smallest host. Buffers that grow take as much again until the garbage collector has freed them.
	bodyDivisor = 6
	// minBodyBytes lets an announcement of 4 MiB and its decoded form fit, and a job of the maximum number of tasks.
	minBodyBytes = 12 * MB

	// connectionDivisor is the fraction of the memory for connections.
	connectionDivisor = 6
	// connectionBytes is the memory of a connection: its goroutine, two buffers, a header and received bytes that have not been
	// read.
	connectionBytes = 32_000
	// reservedFiles is the number of file descriptors that are reserved for files.
	reservedFiles = 200
	// Of the remaining file descriptors, three quarters are for accepted connections, and the others for those that the
	// process opens.
	acceptedNumerator, acceptedDenominator = 3, 4
	// minConnections is the least number of connections, of which the main listener gets ten.
	minConnections = 16
)

const (
	// MaxHeaderBytes limits the header of a request. Package http adds 4 KiB to it.
	MaxHeaderBytes = 12 << 10
	// MaxHeaderLines limits the lines of a header. Each takes up to 150 bytes when it is decoded, however short it is: 3,500
	// lines of 4 bytes on each of 200 connections took a gateway to 70 MB.
	MaxHeaderLines = 128
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout = 90 * time.Second
	// SmallBodyBytes is the size up to which a body may use the share of the memory that larger ones can't take.
	SmallBodyBytes = 16 << 10
	// smallTotalBytes is the limit for a small body together with what decoding it allocates.
	smallTotalBytes = 4 * SmallBodyBytes

	// bodyGrace is how long a body may take before its rate counts.
	bodyGrace = 5 * time.Second
	// minBodyRate is the least rate of a body after the grace period, in bytes per second. A body of 256 KiB on the slowest
	// link (10 Mbit/s) takes 0.2 s.
	minBodyRate = 16 << 10
	// maxBodyTime is how long a body may take in total. The clients of a queue give up after 3 s unless it sets a timeout, and
	// the largest body between processes (8 MiB) takes 7 s on the slowest link.
	maxBodyTime = 30 * time.Second
	// A client may take between minWriteTime and maxWriteTime to accept a part of a response, since the deadline is moved only once
	// less than minWriteTime is left.
	maxWriteTime = 30 * time.Second
	minWriteTime = 20 * time.Second
	// lingerTime is how long the rest of a refused body may take. If a connection is closed with unread bytes, it is reset, and
	// the client may lose the response.
	lingerTime = 500 * time.Millisecond
	// evictionStall is how long a body must have made no progress before it is evicted in favour of another: some round trips between
	// failure domains (9 ms). Memory is free again that soon after a client has stopped short, and bodies that arrive keep theirs.
	evictionStall = 50 * time.Millisecond
	// progressBytes is how much of a body must arrive to count as progress, so that single bytes don't.
	progressBytes = 4 << 10
	// crowdedDivisor is the fraction of a listener's connections beyond which the kernel may hold only crowdedReceiveBytes of
	// received bytes for each further one. The default is 128 KiB and grows up to 6 MiB.
	crowdedDivisor      = 4
	crowdedReceiveBytes = 16 << 10
	// calmReceiveBytes is what the kernel may hold for each new connection once a listener isn't crowded any more. The default can't
	// be restored.
	calmReceiveBytes = 64 << 10
)

// NewLimits returns the limits for a process on a host with the given memory in MB and number of file descriptors. A value that
// is 0 or less is unknown and limits nothing.
func NewLimits(memoryMB int64, maxFiles int) Limits {
	var l Limits
	if memoryMB > 0 {
		bytes := memoryMB * MB
		l.BodyBytes = max(bytes/bodyDivisor, minBodyBytes)
		l.HeapBytes = max(bytes-bytes/systemDivisor-programBytes, minHeapBytes)
		l.Connections = max(int(bytes/connectionDivisor/connectionBytes), minConnections)
	}
	if maxFiles > 0 {
		accepted := max((maxFiles-reservedFiles)*acceptedNumerator/acceptedDenominator, minConnections)
		if l.Connections == 0 || accepted < l.Connections {
			l.Connections = accepted
		}
	}
	return l
}

// HostLimits returns the limits for a process whose settings may lack the memory of the host in MB, the number of file descriptors, or
// both: a value that is 0 or less is asked of the system.
func HostLimits(memoryMB int64, maxFiles int) Limits {
	if memoryMB <= 0 {
		memoryMB = systemMemoryMB()
	}
	if maxFiles <= 0 {
		maxFiles = MaxFiles()
	}
	return NewLimits(memoryMB, maxFiles)
}

// heapBodyDivisor and heapConnectionDivisor are the fractions of a soft memory limit of the Go runtime for bodies and connections.
// Entries and agents limit the requests that they forward by budgets of their own.
const heapBodyDivisor, heapConnectionDivisor = 8, 4

// HeapLimits returns the limits for a process with a soft memory limit of its own in bytes, and a number of file descriptors that
// is 0 if it is unknown.
func HeapLimits(heapBytes int64, maxFiles int) Limits {
	l := NewLimits(0, maxFiles)
	l.BodyBytes = max(heapBytes/heapBodyDivisor, minBodyBytes)
	l.HeapBytes = heapBytes
	if byMemory := max(int(heapBytes/heapConnectionDivisor/connectionBytes), minConnections); l.Connections == 0 || byMemory < l.Connections {
		l.Connections = byMemory
	}
	return l
}

// connections returns the number of connections of a listener with the given share, or 0 for no limit.
func (l Limits) connections(share Share) int {
	if l.Connections == 0 {
		return 0
	}
	return max(l.Connections*int(share)/shareUnits, 1)
}
