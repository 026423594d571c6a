package node

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// repeatInterval is how long a call to the executor may go without an answer beyond the time that it is meant to wait before
	// it is sent again. Executors answer their own host within milliseconds.
	repeatInterval = 150 * time.Millisecond
	// maxCopies limits how often a call is sent.
	maxCopies = 5
)

// errInconclusive means that a call may have taken effect, or may still do so: a copy of it has no answer, and the answers to
// others don't tell what becomes of that copy.
var errInconclusive = errors.New("node: no conclusive answer to a repeated call")

// copyResult is the answer to one copy of a call.
type copyResult[T any] struct {
	value T
	err   error
}

// repetition says how a call is repeated.
type repetition struct {
	// patience is the time that the first copy is meant to wait.
	patience time.Duration
	// copies is the number of copies that are sent at most.
	copies int
	// afterBreak is set if a copy whose connection broke is followed by another one.
	afterBreak bool
}

// repeat sends an idempotent call, and sends it again in intervals while it has no answer. A copy without an answer may have
// been carried out, or may be carried out later. So a success is conclusive, and a rejection only if all copies are
// rejected. first tells call whether it sends the first copy.
func repeat[T any](ctx context.Context, r repetition, call func(ctx context.Context, first bool) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan copyResult[T], r.copies)
	sent, pending := 0, 0
	send := func() {
		first := sent == 0
		sent++
		pending++
		go func() {
			value, err := call(ctx, first)
			results <- copyResult[T]{value, err}
		}()
	}
	send()
	timer := time.NewTimer(r.patience + repeatInterval)
	defer timer.Stop()
	var none T
	unresolved, wasRejected := false, false
	done := ctx.Done()
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil {
				return result.value, nil
			}
			_, rejected := rejectionReason(result.err)
			wasRejected, unresolved = wasRejected || rejected, unresolved || !rejected
			switch {
			case pending > 0, r.afterBreak && !wasRejected && sent < r.copies && ctx.Err() == nil:
			case !unresolved, sent == 1:
				return none, result.err
			default:
				return none, inconclusive(result.err)
			}
		case <-timer.C:
			// Once a copy is rejected, further ones would be, too.
			if sent < r.copies && !wasRejected && ctx.Err() == nil {
				send()
				timer.Reset(repeatInterval)
			}
		case <-done:
			// The copies return now, and tell whether they have been sent.
			done = nil
		}
	}
}

// inconclusive returns errInconclusive with the text of the last answer. It doesn't wrap the answer, which may be a rejection.
func inconclusive(answer error) error { return fmt.Errorf("%w: %v", errInconclusive, answer) }

// repeatOrder repeats an order to the executor within orderTimeout.
func (n *Node) repeatOrder(ctx context.Context, order func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := repeat(ctx, repetition{copies: n.copies, afterBreak: true}, func(ctx context.Context, first bool) (struct{}, error) {
		if !first {
			n.metrics.repeated.Inc(1)
		}
		return struct{}{}, order(ctx)
	})
	return err
}
