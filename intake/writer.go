// Package intake writes new jobs to the store in batches, and distinguishes jobs that were certainly not stored from
// those whose result is unknown.
package intake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/kv"
)

// Errors of Create. Compare them with errors.Is.
var (
	// ErrUnknown means that the key may exist or may be created later.
	ErrUnknown = errors.New("intake: result unknown")
	// ErrUnavailable means that this call has not created the key and never will.
	ErrUnavailable = errors.New("intake: store unavailable")
)

const (
	// retryInterval is the time between attempts of a write.
	retryInterval = 60 * time.Millisecond
	// maxJobsPerWrite is the maximum number of jobs in one write; each takes a condition and a put.
	maxJobsPerWrite = kv.MaxTransactionRows / 2
	// maxQueuedJobs is the maximum number of jobs that wait for a write; further jobs are rejected.
	maxQueuedJobs = 256
	// maxConcurrentWrites is the maximum number of writes in flight.
	maxConcurrentWrites = 4
)

// Writer creates keys in the store. Keys that arrive while all writes are in flight are batched into the next one.
type Writer struct {
	store    *kv.Monitor
	log      hclog.Logger
	queue    chan *pendingCreate
	inFlight chan struct{}
}

// Existing is a key that was there before a call of Create.
type Existing struct {
	Value []byte
	// MayBeReplaced is set if an earlier attempt of the call may still create the key once the present one is gone.
	MayBeReplaced bool
}

// pendingCreate is a call of Create that waits for its result.
type pendingCreate struct {
	ctx      context.Context
	put      kv.Put
	existing *Existing
	// uncertain is set when an earlier attempt may have taken effect or may still do so.
	uncertain bool
	done      chan error
}

// NewWriter returns a writer. Keys are created only while Run is running.
func NewWriter(store *kv.Monitor, log hclog.Logger) *Writer {
	return &Writer{store: store, log: log, queue: make(chan *pendingCreate, maxQueuedJobs), inFlight: make(chan struct{}, maxConcurrentWrites)}
}

// Create stores a value under a new key. If the key exists already, it is kept and returned; existing is nil if the key was created.
// While the store is unhealthy, Create fails without waiting.
func (w *Writer) Create(ctx context.Context, key string, value []byte) (existing *Existing, err error) {
	return w.create(ctx, kv.Put{Key: key, Value: value})
}

// CreateLeased does the same with a key that the store deletes when a lease ends. If the lease has ended, the error matches
// kv.ErrLeaseNotFound and ErrUnavailable.
func (w *Writer) CreateLeased(ctx context.Context, key string, value []byte, lease int64) (existing *Existing, err error) {
	return w.create(ctx, kv.Put{Key: key, Value: value, Lease: lease})
}

func (w *Writer) create(ctx context.Context, put kv.Put) (existing *Existing, err error) {
	if !w.store.Healthy() {
		return nil, eris.Wrap(ErrUnavailable, "the store doesn't answer")
	}
	c := &pendingCreate{ctx: ctx, put: put, done: make(chan error, 1)}
	select {
	case w.queue <- c:
	default:
		return nil, eris.Wrap(ErrUnavailable, "too many keys wait for a write")
	}
	select {
	case err := <-c.done:
		return c.existing, err
	case <-ctx.Done():
		return nil, eris.Wrap(ErrUnknown, "time is up")
	}
}

// Run writes batches of queued keys until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w.inFlight <- struct{}{}:
		}
		batch := w.nextBatch(ctx)
		if batch == nil {
			return
		}
		go func() {
			defer func() { <-w.inFlight }()
			w.write(ctx, batch)
		}()
	}
}

// nextBatch waits for a queued key and returns it with the other queued keys, up to maxJobsPerWrite. It returns nil
// when ctx ends.
func (w *Writer) nextBatch(ctx context.Context) []*pendingCreate {
	var batch []*pendingCreate
	select {
	case <-ctx.Done():
		return nil
	case c := <-w.queue:
		batch = append(batch, c)
	}
	for len(batch) < maxJobsPerWrite {
		select {
		case c := <-w.queue:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// write retries a batch until each key certainly exists, certainly won't be created, or has no waiting client any more.
func (w *Writer) write(ctx context.Context, batch []*pendingCreate) {
	for len(batch) > 0 && ctx.Err() == nil {
		err := w.attempt(batch)
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			completeAll(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = completeExisting(batch, conflict)
			continue
		case errors.Is(err, kv.ErrUnknown):
			for _, c := range batch {
				c.uncertain = true
			}
		}
		batch = completeDecided(batch, err)
		if len(batch) == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	completeAll(batch, eris.Wrap(ErrUnknown, "the process stops"))
}

// attempt sends one write. It isn't cancelled with the client's request, since a write in flight can't be undone.
func (w *Writer) attempt(batch []*pendingCreate) error {
	var t kv.Transaction
	for _, c := range batch {
		t.Conditions = append(t.Conditions, kv.Condition{Key: c.put.Key})
		t.Puts = append(t.Puts, c.put)
	}
	_, err := w.store.Commit(context.Background(), t)
	return err
}

func completeAll(batch []*pendingCreate, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

// completeExisting completes the calls whose keys exist already and returns the others.
func completeExisting(batch []*pendingCreate, conflict *kv.ConflictError) []*pendingCreate {
	var rest []*pendingCreate
	for _, c := range batch {
		if item, exists := conflict.Find(c.put.Key); exists {
			// An earlier attempt of this call may have created the key.
			if !c.uncertain || !bytes.Equal(item.Value, c.put.Value) {
				c.existing = &Existing{Value: item.Value, MayBeReplaced: c.uncertain}
			}
			c.done <- nil
			continue
		}
		rest = append(rest, c)
	}
	return rest
}

// completeDecided completes the calls that certainly had no effect and those whose clients no longer wait, and returns
// the others.
func completeDecided(batch []*pendingCreate, err error) []*pendingCreate {
	var rest []*pendingCreate
	for _, c := range batch {
		switch {
		case !c.uncertain:
			c.done <- fmt.Errorf("%w: %w", ErrUnavailable, err)
		case c.ctx.Err() != nil:
			c.done <- eris.Wrap(ErrUnknown, err.Error())
		default:
			rest = append(rest, c)
		}
	}
	return rest
}
