package workflow

import "strings"

// Queue accepts jobs for one pool of executors.
type Queue struct {
	Name string `json:"name"`
	// Host and Prefix select the queue of a request: the host must match, and the longest prefix of the path wins.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool names the executors that run the queue's tasks.
	Pool string `json:"pool"`
	// Priority orders queues; 0 comes first.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failures of a task after which its job fails.
	MaxAttempts int `json:"max_attempts"`
	// The latency objective of a job is its critical path times Stretch, plus ObjectiveMillis.
	Stretch         float64 `json:"stretch"`
	ObjectiveMillis int64   `json:"objective_ms"`
	// TimeoutMillis is the timeout of client requests at this queue.
	TimeoutMillis int64 `json:"timeout_ms"`
	// RequiresTicket is set if each start needs a ticket of the advice service.
	RequiresTicket bool `json:"advised,omitempty"`
}

// Pool is a set of executors.
type Pool struct {
	Name string `json:"name"`
	// Guarded is set if executors themselves reject starts beyond their capacity.
	Guarded bool `json:"guarded"`
	// Spare is set if the pool's hosts are switched off.
	Spare bool `json:"spare,omitempty"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
}

// Match returns the queue of a request and the rest of the path after the queue's prefix. ok is false if no queue
// matches.
func (c *Config) Match(host, path string) (queue *Queue, rest string, ok bool) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if queue == nil || len(q.Prefix) > len(queue.Prefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.Prefix):], true
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
