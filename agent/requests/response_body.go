package requests

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// firstReadSize is how much of a response without a declared length is read before memory for the longest response is
// reserved. Most such responses are shorter. Reserving 8 MiB for each would limit the agent to reading two at a time.
const firstReadSize = 256 << 10

// responseMemory reserves the memory for one response.
type responseMemory struct {
	*limit.Reservation
	attempts *attemptTracker
}

// Hold waits until n bytes can be reserved and then evicts retained responses, oldest first, as far as necessary:
// responses in flight and retained ones share one limit.
func (m responseMemory) Hold(ctx context.Context, n int64) error {
	err := m.Reservation.Hold(ctx, n)
	if err == nil {
		m.attempts.expire()
	}
	return err
}

// readResponseBody reads the complete body of a response and reserves memory before it reads. A body without a declared
// length that is longer than firstReadSize keeps its first part reserved while it waits for memory for the longest
// response. limit.MemoryBudget keeps enough memory free for that, so such bodies can't deadlock.
func readResponseBody(ctx context.Context, memory responseMemory, body io.Reader, length int64) ([]byte, error) {
	if length > structs.MaxResponseBody {
		return nil, errTooLarge
	}
	if length >= 0 {
		if err := memory.Hold(ctx, length); err != nil {
			return nil, err
		}
		return readAllLimited(body, length, structs.MaxResponseBody)
	}
	var first []byte
	if memory.HoldBody() {
		var err error
		if first, err = io.ReadAll(io.LimitReader(body, firstReadSize)); err != nil {
			return nil, err
		}
		if len(first) < firstReadSize {
			memory.ShrinkBody(int64(len(first)))
			return first, nil
		}
	}
	rest := structs.MaxResponseBody - int64(len(first))
	if err := memory.Hold(ctx, rest); err != nil {
		return nil, err
	}
	more, err := readAllLimited(body, length, rest)
	if err != nil {
		return nil, err
	}
	memory.Return(rest - int64(len(more)))
	return append(first, more...), nil
}

// errTooLarge is returned for a body that exceeds its limit.
var errTooLarge = eris.New("the body exceeds its limit")

// readAllLimited reads a body of at most limit bytes. length is its declared length, or negative if there is none. With a
// declared length, a buffer of exactly that size is allocated.
func readAllLimited(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errTooLarge
	}
	if length >= 0 {
		whole := make([]byte, length)
		_, err := io.ReadFull(body, whole)
		return whole, err
	}
	whole, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(whole)) > limit {
		err = errTooLarge
	}
	return whole, err
}
