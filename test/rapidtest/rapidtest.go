// Package rapidtest sets the defaults of property tests.
package rapidtest

import (
	"flag"
	"testing"
)

// Main implements TestMain for packages with property tests. defaults holds flags of rapid by their names without the prefix "rapid.";
// flags of the command line override them. A fixed seed makes each run check the same cases.
func Main(m *testing.M, defaults map[string]string) {
	for name, value := range defaults {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
