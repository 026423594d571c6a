package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/test/faultnet"
)

// Guards against connections whose process is not found. They would not be delayed, so measurements would have no delay
// at all.
func TestDomainOfClient(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	list := filepath.Join(c.TempDir(), "processes")
	f := &processFinder{path: list}
	from, to := conn.LocalAddr().String(), listener.Addr().String()
	c.Assert(os.WriteFile(list, nil, 0o600), qt.IsNil)
	_, ok := f.domainOf(from, to)
	c.Assert(ok, qt.IsFalse)
	c.Assert(os.WriteFile(list, fmt.Appendf(nil, "%d patan\n", os.Getpid()), 0o600), qt.IsNil)
	domain, ok := f.domainOf(from, to)
	c.Assert(ok, qt.IsTrue)
	c.Assert(domain, qt.Equals, "patan")
	delay := LinkDelay{Min: defaultMinDelay}
	c.Assert(delaysTo(to, "patan", f, delay)(conn.LocalAddr()), qt.IsNil)
	far := delaysTo(to, "bhaktapur", f, delay)(conn.LocalAddr())
	c.Assert(far, qt.IsNotNil)
	c.Assert(far(faultnet.ToServer), qt.Equals, defaultMinDelay)
	c.Assert(delaysTo(to, noDomain, f, delay)(conn.LocalAddr()), qt.IsNotNil)
}

// Guards against a request that cuts other links than those named, accepts an unknown address, or doesn't restore the
// links of the request before.
func TestCut(t *testing.T) {
	c := qt.New(t)
	n := &network{forwarders: map[string]*faultnet.Forwarder{}}
	defer n.close()
	for range 2 {
		f, err := faultnet.Listen("127.0.0.1:9")
		c.Assert(err, qt.IsNil)
		n.forwarders[f.Address()] = f
	}
	var addresses []string
	for address := range n.forwarders {
		addresses = append(addresses, address)
	}
	c.Assert(n.setCutLinks(addresses[:1]), qt.IsNil)
	c.Assert(n.silent, qt.DeepEquals, map[string]bool{addresses[0]: true})
	c.Assert(n.setCutLinks([]string{"127.0.0.1:1"}), qt.IsNotNil)
	c.Assert(n.silent, qt.DeepEquals, map[string]bool{addresses[0]: true})
	c.Assert(n.setCutLinks(nil), qt.IsNil)
	c.Assert(n.silent, qt.DeepEquals, map[string]bool{})
}
