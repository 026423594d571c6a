package forward

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
