package faultnet

import (
	"net"
	"net/netip"
)

// SetIdentify sets the function that names the source of new connections. The function returns "" for an unknown source.
func (f *Forwarder) SetIdentify(identify func(source netip.AddrPort) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.identify = identify
}

// Partition drops all bytes between a source and the target, on existing and on new connections, as a network partition
// does. While any source is partitioned, connections of unknown sources are blackholed too, since they might belong to it.
// Heal ends the partition.
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

// Heal ends the partition of a source. Its blackholed connections are reset, and new ones work again.
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

// isPartitioned returns whether the bytes of a link are dropped because of its source. The caller holds f.mu.
func (f *Forwarder) isPartitioned(l *link) bool {
	return f.partitioned[l.source] || (l.source == "" && len(f.partitioned) > 0)
}

func addrPort(address net.Addr) netip.AddrPort {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
