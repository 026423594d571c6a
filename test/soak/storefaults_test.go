package soak

import (
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/ownership"
)

const slowStoreTime = 60 * storeAnswerTime

func init() {
	storeFaults := map[string]func(i *injector) *storeFault{
		"slow": func(*injector) *storeFault { return &storeFault{delay: slowStoreTime} },
		"refuse": func(i *injector) *storeFault {
			return &storeFault{status: []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[i.draw.IntN(2)]}
		},
		"reset":  func(*injector) *storeFault { return &storeFault{reset: true} },
		"silent": func(*injector) *storeFault { return &storeFault{silent: true} },
		"lose":   func(i *injector) *storeFault { return &storeFault{lose: i.draw.Float64()} },
		"late": func(i *injector) *storeFault {
			return &storeFault{late: i.draw.Float64(), lateTime: i.between(time.Second, 6*time.Second)}
		},
	}
	for name, fault := range storeFaults {
		faultKinds["store-"+name] = func(i *injector) {
			i.setStoreFault(fault(i), i.some())
		}
	}
	faultKinds["store-revoke"] = func(i *injector) {
		i.store.endLeaseOf(ownership.OwnerKey)
		i.wait(0, 4*time.Second)
	}
	faultKinds["store-compact"] = func(i *injector) {
		i.store.mu.Lock()
		i.store.compact(time.Now())
		i.store.mu.Unlock()
		i.wait(0, 2*time.Second)
	}
}

// setStoreFault sets a fault of the store for some hosts for a time.
func (i *injector) setStoreFault(fault *storeFault, some []int) {
	var callers []string
	for _, host := range some {
		callers = append(callers, i.processes[host].name)
	}
	i.store.setFault(fault, callers...)
	i.wait(500*time.Millisecond, 8*time.Second)
	i.store.setFault(nil, callers...)
}
