package forward

import (
	"testing"

	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "20261204"})
}
