package faultnet

import (
	"net"
	"net/netip"
)

// SetIdentify has new connections named by their source. It returns an empty name for a source that it doesn't know.
func (f *Forwarder) SetIdentify(identify func(source netip.AddrPort) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.identify = identify
}

// Partition drops all bytes between a source and the target, on existing and on new connections, as a network partition
// does. Connections without a name are dropped too while any source is separated, so that none of a separated source
// remains. Heal ends it.
func (f *Forwarder) Partition(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[source] = true
	for l := range f.links {
		if f.isPartitioned(l) {
			l.blackhole()
		}
	}
}

// Heal lets new connections of a source pass again. Those that have fallen silent are reset.
func (f *Forwarder) Heal(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		if f.isPartitioned(l) {
			l.cut()
		}
	}
	delete(f.partitioned, source)
}

// isPartitioned tells whether the bytes of a link are dropped because of its source; f.mu is held.
func (f *Forwarder) isPartitioned(l *link) bool {
	return f.partitioned[l.source] || (l.source == "" && len(f.partitioned) > 0)
}

func addrPort(address net.Addr) netip.AddrPort {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
