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

// AnyBase is the base revision of a change that applies to whatever revision is current. Only changes of one failure
// domain allow it.
const AnyBase int64 = -1

const (
	// maxApplyAttempts bounds the attempts to apply a change with AnyBase when it conflicts with others. Eight operators
	// at once are far more than the expected 1,500 changes per day produce.
	maxApplyAttempts = 8
	// maxResolveAttempts bounds the attempts to find out whether a write without a response took effect.
	maxResolveAttempts = 4
	// maxBlobAttempts bounds the attempts to write one blob. Repeating the write is idempotent, since the key is a hash
	// of the content.
	maxBlobAttempts = 3
	// DefaultRetryBackoff is the delay before the first retry; it doubles with each attempt.
	DefaultRetryBackoff = 50 * time.Millisecond
)

// Acceptor validates changes and commits them to the store. It is safe for concurrent use, also by several processes on
// one store.
type Acceptor struct {
	store store.Store
	blobs *Blobs
	// RetryBackoff is the delay before the first retry.
	RetryBackoff time.Duration
}

// NewAcceptor returns an acceptor that commits to a store. blobs must read from the same store.
func NewAcceptor(s store.Store, blobs *Blobs) *Acceptor {
	return &Acceptor{store: s, blobs: blobs, RetryBackoff: DefaultRetryBackoff}
}

// NewChangeID returns a random ID for a change.
func NewChangeID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Apply commits a change on top of a base revision (0 before the first change) and returns the resulting head.
//
// Errors: *findings.Error if the change is invalid, *ConflictError if the configuration is at another revision,
// store.ErrUnavailable if the change was definitely not made, store.ErrUnknownResult if it may have been made. A change
// that alters nothing, or whose ID is among the most recently accepted ones, returns the current head.
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

// storedHead is the head as read from the store, with the store revision of its key.
type storedHead struct {
	head          Head
	storeRevision int64
}

// Current reads the head from the store; its revision is 0 before the first change.
func (a *Acceptor) Current(ctx context.Context) (Head, error) {
	stored, err := a.readHead(ctx)
	return stored.head, err
}

func (a *Acceptor) readHead(ctx context.Context) (storedHead, error) {
	entry, err := a.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, eris.Wrap(err, "reading the head")
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return storedHead{}, eris.Wrap(errors.Join(store.ErrUnavailable, err), "reading the head")
	}
	return storedHead{head: head, storeRevision: entry.Revision}, nil
}

func (a *Acceptor) applyOnce(ctx context.Context, base int64, change Change) (Head, error) {
	stored, err := a.readHead(ctx)
	if err != nil {
		return Head{}, err
	}
	if slices.Contains(stored.head.Changes, change.ID) {
		return stored.head, nil
	}
	if base != AnyBase && base != stored.head.Revision {
		return Head{}, &ConflictError{Base: base, Current: stored.head.Revision}
	}
	next, blobs, err := a.prepareHead(ctx, stored.head, change)
	if errors.Is(err, store.ErrNotFound) {
		err = a.classifyMissingBlob(ctx, stored.head, err)
	}
	if err != nil {
		return Head{}, err
	}
	if next.sameContent(stored.head) {
		return stored.head, nil
	}
	if err := a.writeBlobs(ctx, blobs); err != nil {
		return Head{}, err
	}
	headRevision, err := a.replaceHead(ctx, stored, next)
	if err != nil {
		return Head{}, err
	}
	if len(blobs) > 0 && headRevision > 0 {
		a.prune(ctx, next, headRevision)
	}
	return next, nil
}

// classifyMissingBlob returns a conflict if the blob was pruned because the head was replaced in the meantime, and
// otherwise the error for a lost blob.
func (a *Acceptor) classifyMissingBlob(ctx context.Context, base Head, missing error) error {
	stored, err := a.readHead(ctx)
	if err != nil {
		return err
	}
	if stored.head.Revision != base.Revision {
		return &ConflictError{Base: base.Revision, Current: stored.head.Revision}
	}
	return eris.Wrapf(store.ErrUnavailable, "revision %d is incomplete: %v", base.Revision, missing)
}

// replaceHead compare-and-swaps the head and determines the outcome of a write without a response. It returns the store
// revision of the new head, or 0 if that is unknown.
func (a *Acceptor) replaceHead(ctx context.Context, stored storedHead, next Head) (headRevision int64, err error) {
	raw, err := next.encode()
	if err != nil {
		return 0, err
	}
	entry, err := a.store.Put(ctx, HeadKey, raw, store.PutOptions{IfRevision: stored.storeRevision})
	if err == nil || !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownResult) {
		return entry.Revision, eris.Wrap(err, "replacing the head")
	}
	unknown := errors.Is(err, store.ErrUnknownResult)
	for attempt := range maxResolveAttempts {
		found, readErr := a.readHead(ctx)
		if readErr == nil {
			if known, err := changeOutcome(found.head, stored.head.Revision, next); known {
				return 0, err
			}
			// The head is unchanged, so the first write may still arrive. Repeating it with the same expected revision
			// ensures that at most one of the two takes effect.
			entry, err = a.store.Put(ctx, HeadKey, raw, store.PutOptions{IfRevision: stored.storeRevision})
			if err == nil {
				return entry.Revision, nil
			}
		}
		if !a.waitBackoff(ctx, attempt) {
			break
		}
	}
	if !unknown {
		// The store reported a conflict, so nothing was written; only the current revision is unknown.
		return 0, &ConflictError{Base: stored.head.Revision, Current: next.Revision}
	}
	// err is not wrapped: an ErrUnavailable of a later write says nothing about the first one.
	return 0, eris.Wrapf(store.ErrUnknownResult, "replacing the head: %v", err)
}

// changeOutcome reports whether the head found in the store shows the outcome of the change to next, and returns the
// error of that outcome.
func changeOutcome(found Head, base int64, next Head) (known bool, err error) {
	if found.Revision <= base {
		return false, nil
	}
	id, ok := found.changeIDAt(next.Revision)
	switch {
	case !ok:
		return true, eris.Wrap(store.ErrUnknownResult, "too many changes were accepted since")
	case id == next.ChangeID():
		return true, nil
	}
	return true, &ConflictError{Base: base, Current: found.Revision}
}

// waitBackoff waits before a retry and returns false if ctx ends first.
func (a *Acceptor) waitBackoff(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(a.RetryBackoff << attempt)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// pendingBlob is a blob that has yet to be written to the store.
type pendingBlob struct {
	kind BlobKind
	hash string
	raw  []byte
}

// writeBlobs writes blobs unconditionally. Rewriting an existing blob raises its store revision, which keeps a process
// that has listed it as unused from pruning it.
func (a *Acceptor) writeBlobs(ctx context.Context, blobs []pendingBlob) error {
	for _, b := range blobs {
		var err error
		for attempt := range maxBlobAttempts {
			_, err = a.store.Put(ctx, b.kind.Key(b.hash), b.raw, store.PutOptions{IfRevision: store.AnyRevision})
			if !errors.Is(err, store.ErrUnknownResult) || !a.waitBackoff(ctx, attempt) {
				break
			}
		}
		if err != nil {
			// The head hasn't been written, so the change was not made, whether or not the blob was written.
			return eris.Wrapf(store.ErrUnavailable, "writing %s %s: %v", b.kind, b.hash, err)
		}
		a.blobs.cache.add(b.hash, b.raw)
	}
	return nil
}
