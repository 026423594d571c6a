package soak

import "time"

const (
	// burstJobs jobs come at once, with steps up to burstWidth times as wide as usual.
	burstJobs  = 15
	burstWidth = 4
)

func init() {
	faultKinds["burst"] = func(i *injector) {
		number := i.draw.IntN(2)
		for range burstJobs {
			i.clients.submitOne(number, jobKinds[number], 1+i.draw.IntN(burstWidth))
		}
		i.wait(time.Second, 6*time.Second)
	}
	faultKinds["evacuate"] = func(i *injector) {
		key := "op/evacuate/" + zoneOf(i.draw.IntN(3))
		i.store.put(key, struct{}{})
		i.wait(time.Second, 8*time.Second)
		i.store.delete(key)
	}
	faultKinds["config"] = func(i *injector) {
		i.store.mu.Lock()
		version := firstVersion + int(i.store.revision)
		i.store.mu.Unlock()
		i.store.put(configKey, operatorConfig(version))
		i.wait(0, 2*time.Second)
	}
}
