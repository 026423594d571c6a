package requests

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/kernel"
)

// Guards against a caller or service that exceeds its rate and affects others, against a rejection that isn't reported as not
// run with a Retry-After, and against limits that weren't configured.
func TestRateLimitsOfCallersAndServices(t *testing.T) {
	const none, caller, service = "", "caller", "service"
	type step struct{ caller, service, refused string }
	for _, test := range []struct {
		name   string
		change func(*Settings)
		steps  []step
	}{
		{"off", func(s *Settings) { s.CallerBurst, s.ServiceBurst = 1, 1 }, []step{{"a", "price", none}, {"a", "price", none}, {"a", "price", none}}},
		{"caller by header", func(s *Settings) { s.CallerRate, s.CallerBurst, s.CallerHeader = 0.001, 2, "X-Caller" }, []step{
			{"a", "price", none}, {"a", "price", none}, {"a", "price", caller}, {"b", "price", none}, {"a", "other", caller},
		}},
		{"caller by address", func(s *Settings) { s.CallerRate, s.CallerBurst = 0.001, 1 }, []step{
			{"a", "price", none}, {"b", "price", caller},
		}},
		{"service", func(s *Settings) { s.ServiceRate, s.ServiceBurst = 0.001, 1 }, []step{
			{"a", "price", none}, {"b", "price", service}, {"b", "other", none},
		}},
		{"both", func(s *Settings) {
			s.CallerRate, s.CallerBurst, s.CallerHeader, s.ServiceRate, s.ServiceBurst = 0.001, 1, "X-Caller", 0.001, 2
		}, []step{{"a", "price", none}, {"a", "price", caller}, {"b", "price", none}, {"c", "price", service}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			e := newEntryWith(t, nil, test.change, func(c *kernel.Context) { c.Metrics = scope })
			agent := newAgent(t, "a", e)
			second := agent.Announcement("price", 2)
			second.Upstreams = append(second.Upstreams, second.Upstreams[0])
			second.Upstreams[1].Service = "other"
			qt.Assert(t, e.announce(t, second).StatusCode, qt.Equals, http.StatusOK)
			answered, limited := 0, map[string]int64{}
			for _, s := range test.steps {
				response, _ := e.call(t, http.MethodPut, "/s/"+s.service+"/p", "x", "X-Caller", s.caller)
				if s.refused == none {
					answered++
					qt.Assert(t, outcome(response), qt.Equals, "200 answered")
					continue
				}
				limited[s.refused]++
				qt.Assert(t, outcome(response), qt.Equals, "429 not-run")
				qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
			qt.Assert(t, agent.AttemptsReceived(), qt.Equals, answered)
			counters := scope.Snapshot().Counters()
			for _, name := range []string{caller, service} {
				qt.Assert(t, counters["requests."+name+"_limited+"].Value(), qt.Equals, limited[name])
			}
		})
	}
}
