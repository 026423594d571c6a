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

// repeat sends an idempotent call, and sends it again while it has no answer: first after patience and repeatInterval, then in
// intervals. A copy without an answer may have been carried out, or may be carried out later. So a success is conclusive, and
// a rejection only if no other copy is without an answer. first tells call whether it sends the first copy.
func repeat[T any](ctx context.Context, patience time.Duration, call func(ctx context.Context, first bool) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan copyResult[T], maxCopies)
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
	timer := time.NewTimer(patience + repeatInterval)
	defer timer.Stop()
	var none T
	silent := false
	for {
		select {
		case r := <-results:
			pending--
			_, rejected := rejectionReason(r.err)
			switch {
			case r.err == nil, pending == 0 && !silent:
				return r.value, r.err
			case rejected, pending == 0:
				return none, inconclusive(r.err)
			}
			silent = true
		case <-timer.C:
			if sent < maxCopies {
				send()
				timer.Reset(repeatInterval)
			}
		case <-ctx.Done():
			return none, inconclusive(ctx.Err())
		}
	}
}

// inconclusive returns errInconclusive with the text of the last answer. It doesn't wrap the answer, which may be a rejection.
func inconclusive(answer error) error { return fmt.Errorf("%w: %v", errInconclusive, answer) }

// repeatOrder repeats an order to the executor within orderTimeout.
func repeatOrder(ctx context.Context, order func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := repeat(ctx, 0, func(ctx context.Context, _ bool) (struct{}, error) { return struct{}{}, order(ctx) })
	return err
}
