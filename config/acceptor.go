package config

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/store"
)

// AnyBase as a base revision applies a change of one failure domain to the current revision.
const AnyBase int64 = -1

const (
	// maxApplyAttempts bounds how often a change without a base is repeated on conflict. Eight operators at once are
	// far more than the 1,500 changes per day that are expected.
	maxApplyAttempts = 8
	// maxResolveAttempts bounds the calls that find out whether a write without a response took effect.
	maxResolveAttempts = 4
	// maxBlobAttempts bounds the writes of one blob. Repeating one is harmless, since its key follows from its content.
	maxBlobAttempts = 3
	// DefaultRetryPause is the pause before the first repeated call; it doubles with each attempt.
	DefaultRetryPause = 50 * time.Millisecond
)

// Acceptor validates changes and makes them the configuration in force. It is safe for concurrent use, also by several
// processes on one store.
type Acceptor struct {
	store store.Store
	blobs *Blobs
	// RetryPause is the pause before the first repeated call.
	RetryPause time.Duration
}

// NewAcceptor returns an acceptor on a store. Blobs must read from the same store.
func NewAcceptor(s store.Store, blobs *Blobs) *Acceptor {
	return &Acceptor{store: s, blobs: blobs, RetryPause: DefaultRetryPause}
}

// NewChangeID returns an ID for a change.
func NewChangeID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Apply makes a change on top of a base revision (0 before the first change) and returns the head that it led to.
//
// Errors: *findings.Error when the change is invalid, *ConflictError when the configuration is at another revision,
// store.ErrUnavailable when the change was certainly not made, store.ErrUnknownResult when it may have been. A change
// that alters nothing, or whose ID is among the newest accepted ones, returns the current head.
func (a *Acceptor) Apply(ctx context.Context, base int64, change Change) (Head, error) {
	if change.ID == "" {
		change.ID = NewChangeID()
	}
	if err := change.validate(base); err != nil {
		return Head{}, err
	}
	var err error
	for range maxApplyAttempts {
		var head Head
		head, err = a.applyOnce(ctx, base, change)
		var conflict *ConflictError
		if base != AnyBase || !errors.As(err, &conflict) {
			return head, err
		}
	}
	return Head{}, err
}

// current is the head in the store with the store's revision of its key.
type current struct {
	head     Head
	revision int64
}

// Current reads the head from the store; its revision is 0 before the first change.
func (a *Acceptor) Current(ctx context.Context) (Head, error) {
	now, err := a.readHead(ctx)
	return now.head, err
}

func (a *Acceptor) readHead(ctx context.Context) (current, error) {
	entry, err := a.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return current{}, nil
	}
	if err != nil {
		return current{}, eris.Wrap(err, "reading the head")
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return current{}, eris.Wrap(errors.Join(store.ErrUnavailable, err), "reading the head")
	}
	return current{head: head, revision: entry.Revision}, nil
}

func (a *Acceptor) applyOnce(ctx context.Context, base int64, change Change) (Head, error) {
	now, err := a.readHead(ctx)
	if err != nil {
		return Head{}, err
	}
	if slices.Contains(now.head.Changes, change.ID) {
		return now.head, nil
	}
	if base != AnyBase && base != now.head.Revision {
		return Head{}, &ConflictError{Base: base, Current: now.head.Revision}
	}
	next, blobs, err := a.plan(ctx, now.head, change)
	if errors.Is(err, store.ErrNotFound) {
		err = a.explainMissingBlob(ctx, now.head, err)
	}
	if err != nil {
		return Head{}, err
	}
	if next.sameContent(now.head) {
		return now.head, nil
	}
	if err := a.writeBlobs(ctx, blobs); err != nil {
		return Head{}, err
	}
	headRevision, err := a.replaceHead(ctx, now, next)
	if err != nil {
		return Head{}, err
	}
	if len(blobs) > 0 && headRevision > 0 {
		a.prune(ctx, next, headRevision)
	}
	return next, nil
}

// explainMissingBlob tells a blob that was pruned because the head was replaced in the meantime from one that is lost.
func (a *Acceptor) explainMissingBlob(ctx context.Context, base Head, missing error) error {
	now, err := a.readHead(ctx)
	if err != nil {
		return err
	}
	if now.head.Revision != base.Revision {
		return &ConflictError{Base: base.Revision, Current: now.head.Revision}
	}
	return eris.Wrapf(store.ErrUnavailable, "revision %d is incomplete: %v", base.Revision, missing)
}

// replaceHead compare-and-swaps the head and finds out what became of a write without a response. It returns the store's
// revision of the new head, or 0 when that is not known.
func (a *Acceptor) replaceHead(ctx context.Context, now current, next Head) (headRevision int64, err error) {
	raw, err := next.encode()
	if err != nil {
		return 0, err
	}
	entry, err := a.store.Put(ctx, HeadKey, raw, store.PutOptions{IfRevision: now.revision})
	if err == nil || !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownResult) {
		return entry.Revision, eris.Wrap(err, "replacing the head")
	}
	unknown := errors.Is(err, store.ErrUnknownResult)
	for attempt := range maxResolveAttempts {
		found, readErr := a.readHead(ctx)
		if readErr == nil {
			if done, err := settled(found.head, now.head.Revision, next); done {
				return 0, err
			}
			// The head is still the base, so the write may yet arrive. Repeating it settles which one takes effect.
			entry, err = a.store.Put(ctx, HeadKey, raw, store.PutOptions{IfRevision: now.revision})
			if err == nil {
				return entry.Revision, nil
			}
		}
		if !a.pause(ctx, attempt) {
			break
		}
	}
	if !unknown {
		// The store reported a conflict, so nothing was written; only the current revision is not known.
		return 0, &ConflictError{Base: now.head.Revision, Current: next.Revision}
	}
	// The text of err only: a later ErrUnavailable says nothing about the first write.
	return 0, eris.Wrapf(store.ErrUnknownResult, "replacing the head: %v", err)
}

// settled tells whether a head shows what became of the change to next, and the error that follows.
func settled(found Head, base int64, next Head) (done bool, err error) {
	if found.Revision <= base {
		return false, nil
	}
	id, ok := found.changeAt(next.Revision)
	switch {
	case !ok:
		return true, eris.Wrap(store.ErrUnknownResult, "too many changes were accepted since")
	case id == next.ChangeID():
		return true, nil
	}
	return true, &ConflictError{Base: base, Current: found.Revision}
}

// pause waits before a repeated call and returns false when ctx ends.
func (a *Acceptor) pause(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(a.RetryPause << attempt)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// blob is content to be written under its hash.
type blob struct {
	kind BlobKind
	hash string
	raw  []byte
}

// writeBlobs writes blobs without a comparison. Rewriting one that exists protects it from being pruned by a process
// that has found it unused.
func (a *Acceptor) writeBlobs(ctx context.Context, blobs []blob) error {
	for _, b := range blobs {
		var err error
		for attempt := range maxBlobAttempts {
			_, err = a.store.Put(ctx, b.kind.Key(b.hash), b.raw, store.PutOptions{IfRevision: store.AnyRevision})
			if !errors.Is(err, store.ErrUnknownResult) || !a.pause(ctx, attempt) {
				break
			}
		}
		if err != nil {
			// The head hasn't been written, so the change certainly wasn't made, whatever became of the blob.
			return eris.Wrapf(store.ErrUnavailable, "writing %s %s: %v", b.kind, b.hash, err)
		}
		a.blobs.cache.add(b.hash, b.raw)
	}
	return nil
}
