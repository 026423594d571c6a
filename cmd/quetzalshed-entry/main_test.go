package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kernel"
)

// Guards against keys in the example settings that no module defines, and against modules that the binary doesn't import.
func TestExampleSettings(t *testing.T) {
	_, err := kernel.LoadProcess(kernel.RoleEntry, "../../examples/entry.ini")
	qt.Assert(t, err, qt.IsNil)
}
