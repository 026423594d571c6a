package scheduler_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the state machines unless one is given, so that the same commit has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
