package load

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against reading the wrong fields when the program name contains spaces and parentheses.
func TestParseStat(t *testing.T) {
	line := "42 (a) b (c)) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 7 0 99 123456 300 18446744073709551615 1 1"
	got, err := parseStat([]byte(line), 4096)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, Usage{CPU: 2 * time.Second, Resident: 300 * 4096})
	for _, bad := range []string{"", "42 (a) S 1 2", "42 (a) S 1 2 3 4 5 6 7 8 9 10 x 50 0 0 20 0 7 0 99 123456 300"} {
		_, err := parseStat([]byte(bad), 4096)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
	own, err := ReadUsage(os.Getpid())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, own.Resident > 0, qt.IsTrue)
}

// Guards against a slope that depends on the intercept, and against a division by zero if all X are equal.
func TestFitLine(t *testing.T) {
	slope, intercept := FitLine([]Point{{0, 3}, {10, 8}, {40, 23}})
	qt.Assert(t, math.Abs(slope-0.5) < 1e-9 && math.Abs(intercept-3) < 1e-9, qt.IsTrue, qt.Commentf("%v %v", slope, intercept))
	slope, intercept = FitLine([]Point{{5, 1}, {5, 3}})
	qt.Assert(t, slope, qt.Equals, 0.0)
	qt.Assert(t, intercept, qt.Equals, 2.0)
	slope, _ = FitLine(nil)
	qt.Assert(t, slope, qt.Equals, 0.0)
}

// Guards against counting refused calls or truncated responses as answered, and against a number of calls that doesn't
// match the rate.
func TestRunCounts(t *testing.T) {
	echo := func(outcome string, cut int) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Quetzalshed-Outcome", outcome)
			_, _ = io.Copy(w, bytes.NewReader(body[cut:]))
		}))
		t.Cleanup(s.Close)
		return s
	}
	step := Step{Rate: 200, Size: 100, Duration: 100 * time.Millisecond, Method: http.MethodPut}
	m, err := Measure(t.Context(), NewClient(), step, []Target{
		{Name: "answered", URL: echo("answered", 0).URL, RequireOutcome: true},
		{Name: "refused", URL: echo("not-run", 0).URL, RequireOutcome: true},
		{Name: "short", URL: echo("answered", 1).URL, RequireOutcome: true},
		{Name: "direct", URL: echo("", 0).URL},
	}, []Process{{Name: "self", PID: os.Getpid()}})
	qt.Assert(t, err, qt.IsNil)
	for i, want := range []Calls{{Answered: 20}, {Failed: 20}, {Failed: 20}, {Answered: 20}} {
		got := m.Calls[i]
		qt.Assert(t, got.Latency.TotalCount(), qt.Equals, int64(want.Answered))
		got.Latency = nil
		qt.Assert(t, got, qt.Equals, want)
	}
	qt.Assert(t, m.Usage[0].Resident > 0, qt.IsTrue)
}
