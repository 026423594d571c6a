package storetest_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

var start = time.Unix(1_700_000_000, 0)

// newHTTPClient serves a store over HTTP and returns a client of it.
func newHTTPClient(t testing.TB, s *storetest.Store) *store.Client {
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return store.NewClient(store.ClientOptions{Address: address, CallTimeout: 5 * time.Second, WatchTimeout: 10 * time.Millisecond})
}

// model is a reference implementation of a store with plain maps.
type model struct {
	values  map[string]string
	leaseOf map[string]store.LeaseID
	expires map[store.LeaseID]time.Time
}

func (m *model) expire(now time.Time) {
	for id, at := range m.expires {
		if now.Before(at) {
			continue
		}
		delete(m.expires, id)
		for key, lease := range m.leaseOf {
			if lease == id {
				delete(m.values, key)
				delete(m.leaseOf, key)
			}
		}
	}
}

// machine is the state machine of a property test. It makes the same calls to a store and to the model. Of the writes that get
// no response, about half take effect.
type machine struct {
	clock          *clock.Manual
	backend        *storetest.Store
	store          store.Store
	model          model
	revisions      map[string]int64
	latestRevision int64
	leases         []store.LeaseID
}

const leaseTTL = 3 * time.Second

func drawKey(t *rapid.T) string { return fmt.Sprintf("k/%d?&%%", rapid.IntRange(0, 3).Draw(t, "key")) }

func (m *machine) Advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
}

func (m *machine) Grant(t *rapid.T) {
	id, err := m.store.Grant(context.Background(), leaseTTL)
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	m.leases = append(m.leases, id)
	m.model.expires[id] = m.clock.Now().Add(leaseTTL)
}

func (m *machine) KeepAlive(t *rapid.T) {
	if len(m.leases) == 0 {
		return
	}
	id := rapid.SampledFrom(m.leases).Draw(t, "lease")
	m.model.expire(m.clock.Now())
	_, alive := m.model.expires[id]
	err := m.store.KeepAlive(context.Background(), id)
	if alive != (err == nil) || !alive && !errors.Is(err, store.ErrLeaseNotFound) {
		t.Fatalf("keep alive of a lease (alive=%v): %v", alive, err)
	}
	if alive {
		m.model.expires[id] = m.clock.Now().Add(leaseTTL)
	}
}

func (m *machine) Put(t *rapid.T) {
	k, value := drawKey(t), rapid.StringN(0, 4, -1).Draw(t, "value")
	fault := rapid.SampledFrom([]string{"none", "none", "response", "request", "down"}).Draw(t, "fault")
	opts := store.PutOptions{IfRevision: rapid.SampledFrom([]int64{0, store.AnyRevision, m.revisions[k]}).Draw(t, "if")}
	if len(m.leases) > 0 && rapid.Bool().Draw(t, "leased") {
		opts.Lease = rapid.SampledFrom(m.leases).Draw(t, "lease")
	}
	m.model.expire(m.clock.Now())
	expected := m.expectedPut(k, opts)
	applied := expected == nil
	switch fault {
	case "response":
		m.backend.SetFaults(storetest.Faults{LoseResponses: 1})
		expected = store.ErrUnknownResult
	case "request":
		m.backend.SetFaults(storetest.Faults{LoseRequests: 1})
		expected, applied = store.ErrUnknownResult, false
	case "down":
		m.backend.SetFaults(storetest.Faults{Down: true})
		expected, applied = store.ErrUnavailable, false
	}
	entry, err := m.store.Put(context.Background(), k, []byte(value), opts)
	m.backend.SetFaults(storetest.Faults{})
	if !errors.Is(err, expected) || (err == nil) != (expected == nil) {
		t.Fatalf("put %+v: %v, the model expects %v", opts, err, expected)
	}
	if err == nil && entry.Revision <= m.latestRevision {
		t.Fatalf("revision %d after %d", entry.Revision, m.latestRevision)
	}
	if applied {
		m.model.values[k], m.model.leaseOf[k] = value, opts.Lease
	}
}

func (m *machine) expectedPut(k string, opts store.PutOptions) error {
	_, exists := m.model.values[k]
	current := int64(0)
	if exists {
		current = m.revisions[k]
	}
	if opts.IfRevision != store.AnyRevision && opts.IfRevision != current {
		return store.ErrConflict
	}
	if _, alive := m.model.expires[opts.Lease]; opts.Lease != "" && !alive {
		return store.ErrLeaseNotFound
	}
	return nil
}

func (m *machine) Delete(t *rapid.T) {
	k := drawKey(t)
	m.model.expire(m.clock.Now())
	_, exists := m.model.values[k]
	err := m.store.Delete(context.Background(), k, store.AnyRevision)
	if exists != (err == nil) || !exists && !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("delete (exists=%v): %v", exists, err)
	}
	delete(m.model.values, k)
	delete(m.model.leaseOf, k)
}

// Check compares the content of the store with the model and records the revisions. It runs after each action.
func (m *machine) Check(t *rapid.T) {
	m.model.expire(m.clock.Now())
	entries, err := m.store.List(context.Background(), "k/")
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != len(m.model.values) {
		t.Fatalf("%d entries, the model has %d", len(entries), len(m.model.values))
	}
	m.revisions = map[string]int64{}
	for _, entry := range entries {
		if m.model.values[entry.Key] != string(entry.Value) {
			t.Fatalf("%q is %q, the model has %q", entry.Key, entry.Value, m.model.values[entry.Key])
		}
		m.revisions[entry.Key] = entry.Revision
		m.latestRevision = max(m.latestRevision, entry.Revision)
	}
}

// Guards against a test store or a client that behaves differently from the model, and against faults that don't have the
// documented effect on a write.
func TestStoreMatchesModel(t *testing.T) {
	for _, served := range []bool{false, true} {
		t.Run(fmt.Sprintf("served=%v", served), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				manual := clock.NewManual(start)
				backend := storetest.New(manual)
				m := &machine{clock: manual, backend: backend, store: backend, revisions: map[string]int64{}}
				m.model = model{map[string]string{}, map[string]store.LeaseID{}, map[store.LeaseID]time.Time{}}
				if served {
					client := newHTTPClient(t, backend)
					defer client.Close()
					m.store = client
				}
				r.Repeat(rapid.StateMachineActions(m))
			})
		})
	}
}

// Guards against a watch that misses a change, a deletion by a lapsed lease, or an outage.
func TestWatchReportsChangesDeletionsAndOutages(t *testing.T) {
	c := qt.New(t)
	manual := clock.NewManual(start)
	backend := storetest.New(manual)
	ctx := context.Background()
	lease, err := backend.Grant(ctx, leaseTTL)
	c.Assert(err, qt.IsNil)
	entry, err := backend.Put(ctx, "w", []byte("1"), store.PutOptions{Lease: lease})
	c.Assert(err, qt.IsNil)
	client := newHTTPClient(t, backend)
	_, err = client.Watch(ctx, "w", entry.Revision)
	c.Assert(errors.Is(err, store.ErrTimeout), qt.IsTrue, qt.Commentf("%v", err))
	results := make(chan error, 2)
	watch := func(after int64) { _, err := backend.Watch(ctx, "w", after); results <- err }
	go watch(entry.Revision)
	entry, err = backend.Put(ctx, "w", []byte("2"), store.PutOptions{IfRevision: entry.Revision, Lease: lease})
	c.Assert(err, qt.IsNil)
	c.Assert(<-results, qt.IsNil)
	go watch(entry.Revision)
	manual.Advance(leaseTTL)
	c.Assert(errors.Is(<-results, store.ErrNotFound), qt.IsTrue)
	go watch(0)
	backend.SetFaults(storetest.Faults{Down: true})
	c.Assert(errors.Is(<-results, store.ErrUnavailable), qt.IsTrue)
}

// Guards against a held write that is never applied, or that overwrites a later one although its revision doesn't match.
func TestHeldWritesApplyOnRelease(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.NewManual(start))
	ctx := context.Background()
	backend.SetFaults(storetest.Faults{HoldRequests: 2})
	_, err := backend.Put(ctx, "a", []byte("held"), store.PutOptions{})
	c.Assert(errors.Is(err, store.ErrUnknownResult), qt.IsTrue)
	_, err = backend.Put(ctx, "b", []byte("held"), store.PutOptions{})
	c.Assert(errors.Is(err, store.ErrUnknownResult), qt.IsTrue)
	_, err = backend.Put(ctx, "b", []byte("later"), store.PutOptions{})
	c.Assert(err, qt.IsNil)
	c.Assert(backend.ReleaseHeld(), qt.Equals, 2)
	entries, err := backend.List(ctx, "")
	c.Assert(err, qt.IsNil)
	var values []string
	for _, entry := range entries {
		values = append(values, entry.Key+"="+string(entry.Value))
	}
	c.Assert(slices.Equal(values, []string{"a=held", "b=later"}), qt.IsTrue, qt.Commentf("%v", values))
}

// Guards against a slow write that has no effect, or is reported as failed, because its caller has timed out. It checks calls
// in process and over HTTP.
func TestSlowWritesTakeEffect(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.NewManual(start))
	for i, s := range []store.Store{backend, newHTTPClient(t, backend)} {
		backend.SetFaults(storetest.Faults{SlowMillis: 5000})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		name := fmt.Sprintf("slow-%d", i)
		_, err := s.Put(ctx, name, []byte("v"), store.PutOptions{})
		c.Check(errors.Is(err, store.ErrUnknownResult), qt.IsTrue, qt.Commentf("%v", err))
		_, err = s.Get(ctx, name)
		c.Check(errors.Is(err, store.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
		cancel()
		backend.SetFaults(storetest.Faults{})
		for range 500 {
			if _, err = backend.Get(context.Background(), name); err == nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.Check(err, qt.IsNil)
	}
}

// Guards against a client that can't use a store that responds more slowly than the configured timeout, and against a timeout
// that stays long after the store is fast again.
func TestTimeoutsAdaptToASlowStore(t *testing.T) {
	c := qt.New(t)
	backend := storetest.New(clock.System{})
	server := httptest.NewServer(backend.Handler())
	t.Cleanup(server.Close)
	const timeout = 500 * time.Millisecond
	client := store.NewClient(store.ClientOptions{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()), CallTimeout: timeout,
	})
	defer client.Close()
	ctx := context.Background()
	// The timeouts of the calls are 1, 2 and 4 times the configured one, so only the third call succeeds.
	backend.SetFaults(storetest.Faults{SlowMillis: 3 * timeout.Milliseconds()})
	for i := range 3 {
		_, err := client.Put(ctx, "k", []byte("v"), store.PutOptions{IfRevision: store.AnyRevision})
		c.Check(err != nil, qt.Equals, i < 2, qt.Commentf("call %d: %v", i, err))
	}
	backend.SetFaults(storetest.Faults{})
	_, err := client.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	backend.SetFaults(storetest.Faults{SlowMillis: 3 * timeout.Milliseconds()})
	_, err = client.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
}

// Guards against a fault that affects a grant instead of a put, and against a put that fails after all faults are used up.
func TestSetPutFaults(t *testing.T) {
	s := storetest.New(clock.System{})
	s.SetPutFaults(storetest.Unavailable, storetest.RequestLost, storetest.ResponseLost, storetest.AppliedLate)
	_, err := s.Grant(t.Context(), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	for i, want := range []error{
		store.ErrUnavailable, store.ErrUnknownResult, store.ErrUnknownResult, store.ErrUnknownResult, nil,
	} {
		_, err := s.Put(t.Context(), fmt.Sprint("k/", i), nil, store.PutOptions{})
		qt.Assert(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("put %d: %v", i, err))
	}
	qt.Assert(t, s.CountKeys("k/"), qt.Equals, 2)
	qt.Assert(t, s.ReleaseHeld(), qt.Equals, 1)
	qt.Assert(t, s.CountKeys("k/"), qt.Equals, 3)
	s.SetFaults(storetest.Faults{ReadsDown: true})
	_, err = s.Get(t.Context(), "k/4")
	qt.Assert(t, errors.Is(err, store.ErrUnavailable), qt.IsTrue)
	_, err = s.Put(t.Context(), "k/5", nil, store.PutOptions{})
	qt.Assert(t, err, qt.IsNil)
}
