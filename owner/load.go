package owner

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

const (
	// loadInterval is the least time between two summaries of the load. It is shorter than admission.FreshAge, so that a gateway that
	// asks gets a fresh one.
	loadInterval = 500 * time.Millisecond
	// grantExpiry is how long a grant counts. A gateway that reaches the owner gets a new one after admission.FreshAge while it accepts
	// jobs; the rest covers the time until the owner knows the last job.
	grantExpiry = 3 * time.Second
	// maxGateways bounds the gateways with grants. Others get none until one expires.
	maxGateways = 256
)

// loadState holds the load as of the last summary, which requests read without waiting for the loop.
type loadState struct {
	current atomic.Pointer[takenLoad]

	mu sync.Mutex
	// grants holds the last grant of each gateway.
	grants map[string]grant
}

// grant is how many tasks a gateway may accept beyond those that the owner held.
type grant struct {
	tasks     admission.Grant
	expiresAt time.Time
}

// takenLoad is the load at one time. It is not changed any more.
type takenLoad struct {
	at       time.Time
	sequence int64
	held     int
	queues   map[string]admission.QueueLoad
}

// updateLoad takes a new summary of the load if the last one is loadInterval old. It is called after each plan, when tasks have taken
// the capacity that they can use. While the store is unavailable there are no plans, so the last summary becomes stale.
func (t *term) updateLoad() {
	select {
	case <-t.loaded:
	default:
		return
	}
	now, sequence := t.clock.Now(), int64(1)
	if last := t.load.current.Load(); last != nil {
		if now.Sub(last.at) < loadInterval {
			return
		}
		sequence = last.sequence + 1
	}
	t.load.current.Store(&takenLoad{at: now, sequence: sequence, held: t.engine.HeldTasks(), queues: t.engine.Loads(now, time.Now())})
}

// attachLoad adds the newest summary to the response to a gateway that asks for one.
func (t *term) attachLoad(w http.ResponseWriter, r *http.Request) {
	text := r.Header.Get(admission.AskHeader)
	if text == "" {
		return
	}
	// A response without a summary shows that this version has them.
	w.Header().Set(admission.Header, admission.NoSummary)
	ask, err := admission.DecodeAsk(text)
	taken := t.load.current.Load()
	if err != nil || taken == nil {
		return
	}
	now := t.clock.Now()
	s := admission.Summary{
		Epoch: t.lease.Record.Epoch, Sequence: taken.sequence, Age: now.Sub(taken.at),
		HeldTasks: taken.held, MaxTasks: t.maxTasks, Grant: t.load.grant(&ask, t.maxTasks, taken.held, now),
	}
	if s.Load, s.HasLoad = taken.queues[ask.Queue]; s.HasLoad {
		s.Queue = ask.Queue
	}
	if encoded := s.Encode(); len(encoded) <= admission.MaxHeaderBytes {
		w.Header().Set(admission.Header, encoded)
	}
}

// grant replaces the grant of a gateway and returns it.
func (s *loadState) grant(ask *admission.Ask, maxTasks, held int, now time.Time) admission.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants == nil {
		s.grants = map[string]grant{}
	}
	others := admission.Grant{}
	for gateway, g := range s.grants {
		switch {
		case now.After(g.expiresAt):
			delete(s.grants, gateway)
		case gateway != ask.Gateway:
			others = others.Add(g.tasks)
		}
	}
	if _, known := s.grants[ask.Gateway]; !known && len(s.grants) >= maxGateways {
		return admission.Grant{}
	}
	tasks := admission.NewGrant(maxTasks, held, others, ask.Want)
	s.grants[ask.Gateway] = grant{tasks, now.Add(grantExpiry)}
	return tasks
}
