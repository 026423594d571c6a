package requests

import (
	"net"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/limit"
)

const (
	// maxRatedCallers and maxRatedServices bound the tables of rates; an entry of the longest name takes about 500 bytes.
	maxRatedCallers  = 4096
	maxRatedServices = 1024
	// maxCallerName bounds the names of callers in bytes. Longer ones are cut.
	maxCallerName = 128
)

// rates are the limits of callers and services; a nil one doesn't limit.
type rates struct {
	header            string
	callers, services *limit.KeyedRateLimiter
}

func newRates(s *Settings) rates {
	r := rates{header: s.CallerHeader}
	if s.CallerRate > 0 {
		r.callers = limit.NewKeyedRateLimiter(s.CallerRate, s.CallerBurst, maxRatedCallers)
	}
	if s.ServiceRate > 0 {
		r.services = limit.NewKeyedRateLimiter(s.ServiceRate, s.ServiceBurst, maxRatedServices)
	}
	return r
}

// caller names the sender of a request.
func (r *rates) caller(request *http.Request) string {
	name := ""
	if r.header != "" {
		name = request.Header.Get(r.header)
	}
	if name == "" {
		host, _, err := net.SplitHostPort(request.RemoteAddr)
		if err != nil {
			host = request.RemoteAddr
		}
		name = host
	}
	return name[:min(len(name), maxCallerName)]
}

// checkRates rejects a request that is over the rate of its caller or its service. The caller's comes first, so that one
// caller doesn't use up the rate of a service.
func (m *Module) checkRates(r *http.Request, service string) (forward.Result, bool) {
	now := m.context.Clock.Now()
	if m.rates.callers != nil {
		if ok, after := m.rates.callers.Allow(m.rates.caller(r), now); !ok {
			m.metrics.callerLimited.Inc(1)
			return overRate("the rate of the caller is at its limit", after), false
		}
	}
	if m.rates.services != nil {
		if ok, after := m.rates.services.Allow(service, now); !ok {
			m.metrics.serviceLimited.Inc(1)
			return overRate("the rate of the service is at its limit", after), false
		}
	}
	return forward.Result{}, true
}

func overRate(reason string, after time.Duration) forward.Result {
	return notRun(http.StatusTooManyRequests, reason, after)
}
