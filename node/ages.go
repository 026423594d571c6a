package node

import "time"

// unknownAge stands for an age in the log that is not known.
const unknownAge = -1

// startAges returns the log fields with the ages by which checkStart decides. The caller holds mu.
func (n *Node) startAges(reportNumber int64, now time.Time) []any {
	age := func(since time.Time) int64 {
		if since.IsZero() {
			return unknownAge
		}
		return now.Sub(since).Milliseconds()
	}
	leaseLeft := int64(0)
	if !n.leaseEnd.IsZero() {
		leaseLeft = n.leaseEnd.Sub(now).Milliseconds()
	}
	return []any{
		"report_age_ms", age(n.reportSentAt[reportNumber]), "list_age_ms", age(n.listedAt), "clock_age_ms", age(n.clockAt),
		"lease_left_ms", leaseLeft, "known_epoch", max(n.epoch, n.locator.Epoch()),
	}
}

// incarnationFields returns the log fields on the incarnation that a start was ordered for and, if it isn't the current one, on that:
// the owner has judged another one than the host has. The caller holds mu.
func (n *Node) incarnationFields(ordered string) []any {
	fields := []any{"executor", ordered}
	switch {
	case n.current == nil:
		return append(fields, "current_executor", "")
	case n.current.IncarnationID() != ordered:
		return append(fields, "current_executor", n.current.IncarnationID(), "current_pool", n.current.Pool, "current_labels", n.current.Labels)
	}
	return fields
}
