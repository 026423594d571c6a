package node

import (
	"context"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// reportInterval is the time between reports when there is nothing new.
	reportInterval = 900 * time.Millisecond
	// reportTimeout limits one report.
	reportTimeout = 1200 * time.Millisecond
	// reportRetryDelay is the pause after a failed report.
	reportRetryDelay = 100 * time.Millisecond
	// maxSentReports is the number of reports whose sending time is kept to check the age of orders based on them.
	maxSentReports = 256
)

// reportLoop reports running and ended runs to the owner.
func (n *Node) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.locator.Changed()
		record, present := n.locator.Current()
		if !present {
			n.sleep(ctx, changed, reportInterval)
			continue
		}
		if err := n.report(ctx, record); err != nil {
			if ctx.Err() != nil {
				return
			}
			n.metrics.failedReports.Inc(1)
			n.log.Debug("report failed", "owner", record.Node, "epoch", record.Epoch, "error", err)
			n.locator.Refresh(ctx)
			n.sleep(ctx, changed, reportRetryDelay)
			continue
		}
		n.waitForNextReport(ctx, changed)
	}
}

func (n *Node) waitForNextReport(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-n.wakeReport:
	case <-timer.C:
	}
}

func (n *Node) report(ctx context.Context, record workflow.OwnerRecord) error {
	report := n.nextReport(record.Epoch)
	sent := n.clock.Now()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n.metrics.reports.Inc(1)
	response, err := n.rpc.Call(call, http.MethodPost, "http://"+record.Address+owner.ReportPath, nil, report)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errNotOwner
	}
	var reply workflow.ReportReply
	if err := response.Decode(&reply); err != nil {
		return err
	}
	n.metrics.reportTime.RecordDuration(n.clock.Now().Sub(sent))
	n.applyReply(report, &reply, sent)
	return nil
}

// nextReport returns a report of the current state for the owner of an epoch. From then on no owner of a lower epoch can renew
// the lease, so that the report can tell how long it lasts.
func (n *Node) nextReport(epoch int64) *workflow.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.epoch = max(n.epoch, epoch)
	n.reportNumber++
	n.reportSentAt[n.reportNumber] = now
	delete(n.reportSentAt, n.reportNumber-maxSentReports)
	r := &workflow.Report{
		Node: n.name, Address: n.address, Incarnation: n.incarnation, Number: n.reportNumber, TraitsUnknown: n.needsTraits,
		LeaseBound: &workflow.LeaseBound{Epoch: n.epoch, LeftMillis: n.leaseBound.Sub(now).Milliseconds()},
	}
	if n.current != nil {
		executor := *n.current
		r.Executor = &executor
	}
	r.StaleLease = n.reportedStaleLease(now)
	r.ExecutorEnd = n.reportedEnd()
	if n.current != nil && !n.brokenAt.IsZero() {
		r.BrokenMillis = max(now.Sub(n.brokenAt).Milliseconds(), 1)
	}
	if n.current != nil && n.lists != nil {
		r.Listed, r.CoveredSequence, r.ListAgeMillis = true, n.listsCover, now.Sub(n.listedAt).Milliseconds()
		r.Running, r.EndsComplete = n.lists.Running, n.lists.EndsComplete
		for _, end := range n.lists.Ended {
			if end.Number > n.ack {
				r.Ended = append(r.Ended, end)
			}
		}
	}
	return r
}

// applyReply applies the owner's reply to a report. The lease counts from the time when the report was sent.
func (n *Node) applyReply(report *workflow.Report, reply *workflow.ReportReply, sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Epoch < n.epoch {
		return
	}
	n.epoch = reply.Epoch
	if report.Executor == nil || n.current == nil || n.current.IncarnationID() != report.Executor.IncarnationID() {
		return
	}
	n.noteReply(report)
	if reply.NoFormerLeases {
		n.formerCallsUntil = time.Time{}
	}
	now := n.clock.Now()
	hadLease := n.leaseEnd.After(now)
	n.extendLease(sent, time.Duration(reply.LeaseMillis)*time.Millisecond)
	if reply.LeaseMillis > 0 {
		n.noteGrant(report, sent)
	}
	if !hadLease && n.leaseEnd.After(now) {
		n.log.Info("lease granted", "epoch", reply.Epoch, "executor", n.current.IncarnationID(), "until_ms", n.leaseEnd.Sub(now).Milliseconds())
		signal(n.wakeHold)
	}
	if reply.Ack > n.ack {
		n.ack = reply.Ack
		signal(n.wakeHold)
	}
	if report.TraitsUnknown && report.Listed {
		n.needsTraits = false
	}
	if reply.HeadroomLosses != nil {
		n.losses = reply.HeadroomLosses
	}
	for _, traits := range reply.Traits {
		n.traits[traits.Task] = traits
	}
}
