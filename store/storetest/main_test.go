package storetest_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that each run checks the same cases. Use -rapid.seed and -rapid.checks to run others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
