// Package loggingtest provides a logger whose lines a test can read.
package loggingtest

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/logging"
)

// New returns a logger of level Info. Each call of lines returns the lines logged since the last one.
func New(t testing.TB, name string) (log hclog.Logger, lines func() []map[string]any) {
	out := &bytes.Buffer{}
	return logging.New(name, out, hclog.Info), func() (read []map[string]any) {
		for decoder := json.NewDecoder(out); decoder.More(); {
			var line map[string]any
			qt.Assert(t, decoder.Decode(&line), qt.IsNil)
			read = append(read, line)
		}
		return read
	}
}
