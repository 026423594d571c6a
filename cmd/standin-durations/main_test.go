package main

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against off-by-one errors in the rank of a percentile, such as one that never returns the highest value.
func TestPercentile(t *testing.T) {
	c := qt.New(t)
	var sorted []time.Duration
	for i := range 100 {
		sorted = append(sorted, time.Duration(i+1))
	}
	c.Assert(percentile(sorted, 50), qt.Equals, time.Duration(50))
	c.Assert(percentile(sorted, 99), qt.Equals, time.Duration(99))
	c.Assert(percentile(sorted[:30], 99), qt.Equals, time.Duration(30))
	c.Assert(percentile(sorted[:1], 50), qt.Equals, time.Duration(1))
}

// Guards against a revision that counts as in force because of an older revision, another message or an incomplete line,
// and against one that never counts because the process skipped it and loaded a later one.
func TestLoadedAt(t *testing.T) {
	c := qt.New(t)
	list, err := decodeLoadedRevisions(strings.NewReader(`{"@message":"process started","@timestamp":"2026-01-01T00:00:00.000000Z"}
{"@message":"configuration in force","@timestamp":"2026-01-01T00:00:01.500000Z","revision":3,"workers":11}
{"@message":"configuration in force","@timestamp":"2026-01-01T00:00:02.000000Z","revision":5,"workers":11}
{"@message":"configuration in force","@timestamp":"2026-01-01T00:00:03`))
	c.Assert(err, qt.IsNil)
	at, ok := loadedAt(list, 4)
	c.Assert(ok, qt.IsTrue)
	c.Assert(at, qt.Equals, time.Date(2026, 1, 1, 0, 0, 2, 0, time.UTC))
	at, ok = loadedAt(list, 3)
	c.Assert(ok, qt.IsTrue)
	c.Assert(at.Nanosecond(), qt.Equals, 500_000_000)
	_, ok = loadedAt(list, 6)
	c.Assert(ok, qt.IsFalse)
}
