package requests

import (
	"time"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Settings holds the settings of the section [entry.requests].
type Settings struct {
	// MaxInFlight limits the requests that the entry processes at once, MaxWaiting those that wait for admission.
	MaxInFlight int `ini:"max_in_flight" default:"512" min:"1" max:"65536"`
	MaxWaiting  int `ini:"max_waiting" default:"256" min:"0" max:"65536"`
	// MaxWait limits the wait for admission.
	MaxWait time.Duration `ini:"max_wait" default:"250ms" min:"0s" max:"10s"`
	// MaxBytes limits the memory of the bodies and headers of the requests in flight and of their responses. The default is
	// a quarter of the 128 MB that the control plane may use on a node. The minimum is twice the largest response, including
	// the limit of its headers.
	MaxBytes int64 `ini:"max_bytes" default:"32000000" min:"18000000" max:"1099511627776"`
	// SmallBytes is further memory for requests whose headers and body take at most 16 KiB, and for such responses, which don't fit into
	// MaxBytes: large requests for an upstream that doesn't answer, and large responses that a caller doesn't read, must not keep
	// others waiting.
	SmallBytes int64 `ini:"small_bytes" default:"2000000" min:"0" max:"1099511627776"`
	// WriteLimit is how long a caller may take to receive 64 KiB of its response. The whole response may take 12 times as
	// long.
	WriteLimit time.Duration `ini:"write_limit" default:"5s" min:"10ms" max:"10m"`

	// CallerRate and ServiceRate are the requests per second that this entry accepts from each caller and for each service,
	// with bursts of CallerBurst and ServiceBurst. 0 means no limit.
	CallerRate   float64 `ini:"caller_rate" default:"0" min:"0" max:"1000000"`
	CallerBurst  int     `ini:"caller_burst" default:"20" min:"1" max:"1000000"`
	ServiceRate  float64 `ini:"service_rate" default:"0" min:"0" max:"1000000"`
	ServiceBurst int     `ini:"service_burst" default:"100" min:"1" max:"1000000"`
	// CallerHeader is the name of the header that identifies the caller, as set by the load balancer. If it is empty, or a
	// request doesn't have the header, the caller is identified by the IP address of its connection.
	CallerHeader string `ini:"caller_header" default:""`

	// RetryShare and RetryPerSecond define the budget for retries and hedges.
	RetryShare     float64 `ini:"retry_share" default:"0.1" min:"0" max:"1"`
	RetryPerSecond float64 `ini:"retry_per_second" default:"3" min:"0" max:"1000"`

	// RecordsPerSecond limits the rate at which the entry writes at-most-once records. The store handles several hundred
	// writes per second for the whole fleet.
	RecordsPerSecond float64       `ini:"records_per_second" default:"80" min:"0.1" max:"10000"`
	RecordRetention  time.Duration `ini:"record_retention" default:"24h" min:"1m" max:"720h"`
	StoreTimeout     time.Duration `ini:"store_timeout" default:"500ms" min:"10ms" max:"10s"`

	// Silence is how long a connection in use may be silent before it counts as broken. Agents send an interim response every
	// 500 ms.
	Silence        time.Duration `ini:"silence" default:"1500ms" min:"100ms" max:"30s"`
	DialTimeout    time.Duration `ini:"dial_timeout" default:"500ms" min:"10ms" max:"10s"`
	ProbeEvery     time.Duration `ini:"probe_every" default:"1s" min:"50ms" max:"1m"`
	ProbeTimeout   time.Duration `ini:"probe_timeout" default:"1s" min:"10ms" max:"1m"`
	IdleTimeout    time.Duration `ini:"idle_timeout" default:"15s" min:"1s" max:"10m"`
	MaxConnections int           `ini:"max_connections_per_agent" default:"64" min:"1" max:"4096"`
	// MaxIdle limits the idle connections and thus the probes. A probe takes about 200 bytes, both directions together.
	MaxIdle        int           `ini:"max_idle_connections" default:"128" min:"0" max:"65536"`
	ResolveTimeout time.Duration `ini:"resolve_timeout" default:"1s" min:"10ms" max:"10s"`
	SuspectFor     time.Duration `ini:"suspect_for" default:"2s" min:"0s" max:"1m"`
	// Margin is subtracted from the time that agents get for a request.
	Margin time.Duration `ini:"margin" default:"10ms" min:"0s" max:"1s"`
	// MinHedge is the minimum delay before a hedge; DefaultHedge is the delay until latencies have been observed.
	MinHedge     time.Duration `ini:"min_hedge" default:"10ms" min:"0s" max:"10s"`
	DefaultHedge time.Duration `ini:"default_hedge" default:"500ms" min:"1ms" max:"1m"`

	// AnnounceBytesPerSecond is the budget for received announcements. The default is two thirds of the 18 KB per second that
	// the control plane may use per node.
	AnnounceBytesPerSecond int           `ini:"announce_bytes_per_second" default:"12000" min:"1" max:"100000000"`
	AnnounceMin            time.Duration `ini:"announce_min" default:"1s" min:"100ms" max:"1m"`
	AnnounceMax            time.Duration `ini:"announce_max" default:"30s" min:"1s" max:"10m"`
	// RemoteDelay is the assumed round trip to other failure domains until it has been measured.
	RemoteDelay time.Duration `ini:"remote_delay" default:"8ms" min:"0s" max:"1s"`

	// DrainGrace is how long requests are still accepted after a shutdown has begun, so that the load balancer can react.
	DrainGrace time.Duration `ini:"drain_grace" default:"2s" min:"0s" max:"1m"`
}

// CheckSettings reports settings that contradict each other.
func (s *Settings) CheckSettings(location func(key string) findings.Location, found *findings.List) {
	if s.AnnounceMax < s.AnnounceMin {
		found.Addf(location("announce_max"), "%s is below announce_min %s", s.AnnounceMax, s.AnnounceMin)
	}
	if s.DefaultHedge < s.MinHedge {
		found.Addf(location("default_hedge"), "%s is below min_hedge %s", s.DefaultHedge, s.MinHedge)
	}
}
