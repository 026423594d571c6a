package workflow_test

import (
	"testing"

	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "nofailfile": "true"})
}
