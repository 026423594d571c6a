package settings_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/settings"
)

type sample struct {
	Name   string         `ini:"name"`
	Limit  int            `ini:"limit" default:"4" min:"1" max:"9"`
	Wait   time.Duration  `ini:"wait" default:"2s" min:"1s"`
	Listen netip.AddrPort `ini:"listen" default:""`
	Peers  []string       `ini:"peers" default:""`
}

// Guards against findings that are reported one at a time or without their line number.
func TestAllFindingsTogether(t *testing.T) {
	c := qt.New(t)
	file, err := settings.Parse("a.ini", []byte("[one]\nlimit = 12\nwait=soon\nlisten = localhost:1\nextra = 1\n\n[two]\nx = 1\n"))
	c.Assert(err, qt.IsNil)
	var got sample
	file.Decode("one", &got)
	c.Assert(file.Err(), qt.ErrorMatches, `(?s).*\[one\] name: required key is missing.*`+
		`a.ini:2 \[one\] limit: 12 is above the maximum 9.*a.ini:3 \[one\] wait: "soon" is not a duration.*`+
		`a.ini:4 \[one\] listen: "localhost:1" is not an IP address.*a.ini:5 \[one\] extra: unknown key.*`+
		`a.ini:7 \[two\]: unknown section`)
}

// Guards against defaults that are not applied, and against list items that keep their surrounding spaces.
func TestDefaultsAndLists(t *testing.T) {
	c := qt.New(t)
	file, err := settings.Parse("a.ini", []byte("[one]\nname = a\npeers = 127.0.0.1:1, 127.0.0.1:2\n"))
	c.Assert(err, qt.IsNil)
	var got sample
	file.Decode("one", &got)
	c.Assert(file.Err(), qt.IsNil)
	c.Assert(got.Limit, qt.Equals, 4)
	c.Assert(got.Wait, qt.Equals, 2*time.Second)
	c.Assert(got.Listen.IsValid(), qt.IsFalse)
	c.Assert(got.Peers, qt.DeepEquals, []string{"127.0.0.1:1", "127.0.0.1:2"})
}
