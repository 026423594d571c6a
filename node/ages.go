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
