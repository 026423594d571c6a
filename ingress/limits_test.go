package ingress

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against limits that ordinary clients reach on the hosts that the programs run on, and against limits that exceed the
// host.
func TestLimitsOfHosts(t *testing.T) {
	c := qt.New(t)
	for _, host := range []struct {
		memoryMB int64
		maxFiles int
	}{{184, 4100}, {536, 8192}, {152, 4096}} {
		l := NewLimits(host.memoryMB, host.maxFiles)
		c.Check(l.connections(MainShare) >= 300, qt.IsTrue, qt.Commentf("%+v: %+v", host, l))
		c.Check(l.Connections <= host.maxFiles-reservedFiles, qt.IsTrue)
		// 20 bodies of 256 KiB at a time.
		c.Check(l.BodyBytes*6/8 >= 20*(256<<10), qt.IsTrue, qt.Commentf("%+v: %+v", host, l))
		// A report of 8 MiB, the largest body, and as much for its decoded form.
		c.Check(l.BodyBytes*6/8 >= 2*(8<<20), qt.IsTrue, qt.Commentf("%+v: %+v", host, l))
		c.Check(l.BodyBytes+int64(l.Connections)*connectionBytes < l.HeapBytes/2, qt.IsTrue, qt.Commentf("%+v: %+v", host, l))
	}
	c.Check(NewLimits(0, 0), qt.Equals, Limits{})
	c.Check(NewLimits(0, 300).connections(MainShare), qt.Equals, 46)
	c.Check(NewLimits(32, 0).BodyBytes, qt.Equals, int64(minBodyBytes))
}
