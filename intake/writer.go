// Package intake writes new jobs to the store, several in one write, and tells those that certainly were not stored from
// those that may be.
package intake

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/kv"
)

// Errors of a creation. Callers compare with errors.Is.
var (
	// ErrUnknown means that the key may exist, or may appear later.
	ErrUnknown = errors.New("intake: result unknown")
	// ErrUnavailable means that the key was not created and never will be by this call.
	ErrUnavailable = errors.New("intake: store unavailable")
)

const (
	// retryInterval is the pause between attempts of a write.
	retryInterval = 60 * time.Millisecond
	// maxJobsPerWrite is how many jobs share a write; each takes a condition and a put.
	maxJobsPerWrite = kv.MaxTransactionRows / 2
	// maxQueuedJobs bounds the jobs that wait for a write; more are rejected.
	maxQueuedJobs = 256
	// maxConcurrentWrites bounds the writes in flight.
	maxConcurrentWrites = 4
)

// Writer creates keys; those that arrive while writes are in flight share the next one.
type Writer struct {
	store    *kv.Monitor
	log      hclog.Logger
	queue    chan *pendingCreate
	inFlight chan struct{}
}

// pendingCreate is a key to create.
type pendingCreate struct {
	ctx     context.Context
	key     string
	value   []byte
	existed bool
	// uncertain tells that an earlier attempt may still take effect.
	uncertain bool
	done      chan error
}

// NewWriter returns a writer. Run has to be called before it creates keys.
func NewWriter(store *kv.Monitor, log hclog.Logger) *Writer {
	return &Writer{store: store, log: log, queue: make(chan *pendingCreate, maxQueuedJobs), inFlight: make(chan struct{}, maxConcurrentWrites)}
}

// Create stores a value under a key that doesn't exist. If it exists, repeated is true. While the store doesn't answer,
// keys are rejected at once.
func (w *Writer) Create(ctx context.Context, key string, value []byte) (existed bool, err error) {
	if !w.store.Healthy() {
		return false, eris.Wrap(ErrUnavailable, "the store doesn't answer")
	}
	c := &pendingCreate{ctx: ctx, key: key, value: value, done: make(chan error, 1)}
	select {
	case w.queue <- c:
	default:
		return false, eris.Wrap(ErrUnavailable, "too many jobs wait for a write")
	}
	select {
	case err := <-c.done:
		return c.existed, err
	case <-ctx.Done():
		return false, eris.Wrap(ErrUnknown, "time is up")
	}
}

// Run writes until ctx ends.
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

// nextBatch waits for a creation and takes those that wait with it.
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

// write repeats a write until each key certainly exists, or certainly never will, or its client has gone.
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

// attempt sends one write. It doesn't end with the client's request, since a write under way can't be taken back.
func (w *Writer) attempt(batch []*pendingCreate) error {
	var t kv.Transaction
	for _, c := range batch {
		t.Conditions = append(t.Conditions, kv.Condition{Key: c.key})
		t.Puts = append(t.Puts, kv.Put{Key: c.key, Value: c.value})
	}
	_, err := w.store.Commit(context.Background(), t)
	return err
}

func completeAll(batch []*pendingCreate, err error) {
	for _, c := range batch {
		c.done <- err
	}
}

// completeExisting answers the creations whose keys exist and returns the others.
func completeExisting(batch []*pendingCreate, conflict *kv.ConflictError) []*pendingCreate {
	var rest []*pendingCreate
	for _, c := range batch {
		if _, exists := conflict.Find(c.key); exists {
			c.existed = !c.uncertain
			c.done <- nil
			continue
		}
		rest = append(rest, c)
	}
	return rest
}

// completeDecided answers the creations that certainly had no effect, and those whose clients have gone.
func completeDecided(batch []*pendingCreate, err error) []*pendingCreate {
	var rest []*pendingCreate
	for _, c := range batch {
		switch {
		case !c.uncertain:
			c.done <- eris.Wrap(ErrUnavailable, err.Error())
		case c.ctx.Err() != nil:
			c.done <- eris.Wrap(ErrUnknown, err.Error())
		default:
			rest = append(rest, c)
		}
	}
	return rest
}
