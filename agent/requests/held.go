package requests

import (
	"context"
	"io"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// firstRead is how much of a response without a declared length is read before the agent has room for the longest one.
// Most such responses end within it. Reserving 8 MiB for each would let two of them be read at a time.
const firstRead = 256 << 10

// responseMemory holds the bytes of one response.
type responseMemory struct {
	*limit.Reservation
	ledger *ledger
}

// Hold waits for room and then has retained responses make way, oldest first: both kinds together have one bound.
func (m responseMemory) Hold(ctx context.Context, n int64) error {
	err := m.Reservation.Hold(ctx, n)
	if err == nil {
		m.ledger.expire()
	}
	return err
}

// readHeld reads the body of a response whole. Its bytes are held from before they are read. A body beyond firstRead that
// has no declared length waits for room of the longest response while it holds what was read; limit.MemoryBudget keeps room for
// that, so such bodies can't block each other.
func readHeld(ctx context.Context, memory responseMemory, body io.Reader, length int64) ([]byte, error) {
	if length > structs.MaxAnswerBody {
		return nil, errTooLarge
	}
	if length >= 0 {
		if err := memory.Hold(ctx, length); err != nil {
			return nil, err
		}
		return readWhole(body, length, structs.MaxAnswerBody)
	}
	var first []byte
	if memory.HoldBody() {
		var err error
		if first, err = io.ReadAll(io.LimitReader(body, firstRead)); err != nil {
			return nil, err
		}
		if len(first) < firstRead {
			memory.ShrinkBody(int64(len(first)))
			return first, nil
		}
	}
	rest := structs.MaxAnswerBody - int64(len(first))
	if err := memory.Hold(ctx, rest); err != nil {
		return nil, err
	}
	more, err := readWhole(body, length, rest)
	if err != nil {
		return nil, err
	}
	memory.Return(rest - int64(len(more)))
	return append(first, more...), nil
}
