package requests

import (
	"net"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/limit"
)

const (
	// maxTrackedCallers and maxTrackedServices limit how many callers and services have their own rate limiter. With a name
	// of maximum length, each takes about 500 bytes.
	maxTrackedCallers  = 4096
	maxTrackedServices = 1024
	// maxCallerNameBytes limits the length of caller names. Longer names are truncated.
	maxCallerNameBytes = 128
)

// rateLimits holds the rate limiters of callers and services; nil means no limit.
type rateLimits struct {
	header            string
	callers, services *limit.KeyedRateLimiter
}

func newRateLimits(s *Settings) rateLimits {
	r := rateLimits{header: s.CallerHeader}
	if s.CallerRate > 0 {
		r.callers = limit.NewKeyedRateLimiter(s.CallerRate, s.CallerBurst, maxTrackedCallers)
	}
	if s.ServiceRate > 0 {
		r.services = limit.NewKeyedRateLimiter(s.ServiceRate, s.ServiceBurst, maxTrackedServices)
	}
	return r
}

// callerName returns the caller's name from the configured header, or otherwise the IP address of the connection.
func (r *rateLimits) callerName(request *http.Request) string {
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
	return name[:min(len(name), maxCallerNameBytes)]
}

// checkRates rejects a request that exceeds the rate of its caller or its service. It checks the caller first, so that a
// caller over its own limit doesn't use up the rate of a service.
func (m *Module) checkRates(r *http.Request, service string) (forward.Result, bool) {
	now := m.context.Clock.Now()
	if m.rateLimits.callers != nil {
		if ok, after := m.rateLimits.callers.Allow(m.rateLimits.callerName(r), now); !ok {
			m.metrics.callerLimited.Inc(1)
			return rateLimited("the rate of the caller is at its limit", after), false
		}
	}
	if m.rateLimits.services != nil {
		if ok, after := m.rateLimits.services.Allow(service, now); !ok {
			m.metrics.serviceLimited.Inc(1)
			return rateLimited("the rate of the service is at its limit", after), false
		}
	}
	return forward.Result{}, true
}

func rateLimited(reason string, after time.Duration) forward.Result {
	return notRun(http.StatusTooManyRequests, reason, after)
}
