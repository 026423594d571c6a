// Package poll lets tests wait for a condition that another goroutine makes true.
package poll

import (
	"testing"
	"time"
)

// Conditions are evaluated once per interval, and at most maxEvaluations times, so that a failing test ends after about 10 s.
const (
	interval       = time.Millisecond
	maxEvaluations = 10_000
)

// Until waits until a condition holds, and fails the test if it doesn't in about 10 s. what describes the condition.
func Until(t testing.TB, what string, reached func() bool) {
	t.Helper()
	if !Reached(reached) {
		t.Fatalf("timed out waiting until %s", what)
	}
}

// Reached waits for up to about 10 s until a condition holds, and reports whether it did.
func Reached(reached func() bool) bool {
	for range maxEvaluations {
		if reached() {
			return true
		}
		time.Sleep(interval)
	}
	return false
}
