package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// minInterval and maxInterval limit the interval that an entry may request. minInterval keeps the entry from
	// being overloaded, and maxInterval keeps an invalid reply from stopping the announcements. Entries of large fleets
	// request up to 30 s.
	minInterval = 50 * time.Millisecond
	maxInterval = 30 * time.Second
	// maxIntervalsAfterClose limits the time until the next announcement to an entry that closes the connection with its
	// reply because it stops, in multiples of Settings.Interval. Without an open connection the agent doesn't notice when
	// the entry restarts.
	maxIntervalsAfterClose = 5
	// maxRetrySeconds prevents an overflow when a Retry-After header is converted to a duration.
	maxRetrySeconds = 3600
	// maxReplyBytes is the maximum size of the body of a reply.
	maxReplyBytes = 4 << 10
)

// entryClient sends announcements to one entry.
type entryClient struct {
	module *Module
	url    string
	client *http.Client
	wake   chan struct{}
	// disconnected signals that the entry has closed a connection.
	disconnected chan struct{}
	// incarnation is the entry's incarnation according to its last reply.
	incarnation string

	mu sync.Mutex
	// waiting holds channels that are closed after the first announcement that starts after they were added.
	waiting []chan struct{}
	failing bool
}

func newEntryClient(m *Module, address netip.AddrPort) *entryClient {
	c := &entryClient{
		module: m, url: "http://" + address.String() + "/v1/announce",
		wake: make(chan struct{}, 1), disconnected: make(chan struct{}, 1),
	}
	transport := &http.Transport{
		MaxIdleConns: 1, IdleConnTimeout: maxInterval * 2, DisableCompression: true,
		DialContext: dialWatched(&net.Dialer{Timeout: m.settings.Timeout}, c.onDisconnect),
	}
	c.client = &http.Client{Transport: transport, Timeout: m.settings.Timeout}
	return c
}

// onDisconnect counts and signals that the entry has closed a connection.
func (c *entryClient) onDisconnect() {
	c.module.connectionsLost.Inc(1)
	select {
	case c.disconnected <- struct{}{}:
	default:
	}
}

// trigger requests an announcement without waiting for the interval. done, if not nil, is closed after the announcement.
func (c *entryClient) trigger(done chan struct{}) {
	if done != nil {
		c.mu.Lock()
		c.waiting = append(c.waiting, done)
		c.mu.Unlock()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *entryClient) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.disconnected:
			// An entry that has restarted knows no upstreams. All agents notice the restart at the same time, so each waits
			// for a random part of Interval. While the entry is down, announcements are repeated at Interval.
			timer.Reset(rand.N(c.module.settings.Interval))
			continue
		case <-timer.C:
		case <-c.wake:
		}
		c.mu.Lock()
		waiting := c.waiting
		c.waiting = nil
		c.mu.Unlock()
		next, err := c.send(ctx)
		c.recordResult(err)
		for _, done := range waiting {
			close(done)
		}
		timer.Reset(next)
		// Several changes within minInterval are announced together, so that an upstream that repeatedly registers and
		// leaves doesn't overload the entry.
		if !sleep(ctx, minInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordResult counts an announcement, and logs when the entry starts or stops accepting announcements.
func (c *entryClient) recordResult(err error) {
	if err == nil {
		c.module.sent.Inc(1)
	} else {
		c.module.failed.Inc(1)
	}
	if c.failing == (err != nil) {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.module.log.Warn("entry does not take announcements", "url", c.url, "error", err)
		return
	}
	c.module.log.Info("entry takes announcements", "url", c.url)
}

// send sends one announcement and returns the time until the next one.
func (c *entryClient) send(ctx context.Context) (time.Duration, error) {
	interval := c.module.settings.Interval
	body, err := json.Marshal(c.module.announcement())
	if err != nil {
		return interval, eris.Wrap(err, "encoding the announcement")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return interval, eris.Wrap(err, "building the announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return interval, eris.Wrap(err, "announcing")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return interval, eris.Wrap(err, "reading the reply")
	}
	if response.StatusCode != http.StatusOK {
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
			interval = min(time.Duration(min(seconds, maxRetrySeconds))*time.Second, maxInterval)
		}
		return interval, eris.Errorf("the entry replied with status %d", response.StatusCode)
	}
	var reply structs.AnnounceReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return interval, eris.Wrap(err, "decoding the reply")
	}
	c.recordIncarnation(reply.Incarnation)
	if reply.NextAfterMillis > 0 {
		millis := min(max(reply.NextAfterMillis, minInterval.Milliseconds()), maxInterval.Milliseconds())
		interval = time.Duration(millis) * time.Millisecond
	}
	if response.Close {
		interval = min(interval, maxIntervalsAfterClose*c.module.settings.Interval)
	}
	return interval, nil
}

// recordIncarnation stores the incarnation of the entry, and counts and logs a restart if it has changed.
func (c *entryClient) recordIncarnation(incarnation string) {
	if c.incarnation != "" && c.incarnation != incarnation {
		c.module.entryRestarts.Inc(1)
		c.module.log.Info("entry has restarted", "url", c.url, "incarnation", incarnation)
	}
	c.incarnation = incarnation
}
