package storetest_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run checks the same cases; -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
