package node

import (
	"context"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// reportInterval is how often a node reports without news.
	reportInterval = 900 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 1200 * time.Millisecond
	// reportRetry is the pause after a report that failed.
	reportRetry = 100 * time.Millisecond
	// keptReports bounds the sending times that are kept to check the age of orders.
	keptReports = 256
)

// reportLoop tells the owner what runs and what has ended.
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
			n.log.Debug("report not answered", "owner", record.Node, "epoch", record.Epoch, "error", err)
			n.locator.Doubt(ctx)
			n.sleep(ctx, changed, reportRetry)
			continue
		}
		n.waitForNews(ctx, changed)
	}
}

func (n *Node) waitForNews(ctx context.Context, changed <-chan struct{}) {
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
	report := n.nextReport()
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n.metrics.reports.Inc(1)
	answer, err := n.rpc.Call(call, http.MethodPost, "http://"+record.Address+owner.ReportPath, nil, report)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return errNotOwner
	}
	var reply workflow.ReportReply
	if err := answer.Decode(&reply); err != nil {
		return err
	}
	n.metrics.reportTime.RecordDuration(time.Since(sent))
	n.granted(report, &reply, sent)
	return nil
}

// nextReport returns a report of what is known now.
func (n *Node) nextReport() *workflow.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.number++
	n.sent[n.number] = time.Now()
	delete(n.sent, n.number-keptReports)
	r := &workflow.Report{
		Node: n.name, Address: n.address, Incarnation: n.incarnation, Number: n.number, TraitsUnknown: n.unaware,
	}
	if n.current != nil {
		executor := *n.current
		r.Executor = &executor
	}
	if n.current != nil && n.lists != nil {
		r.Listed, r.CoveredSequence, r.ListAgeMillis = true, n.covers, time.Since(n.listedAt).Milliseconds()
		r.Running = n.lists.Running
		for _, end := range n.lists.Ended {
			if end.Number > n.ack {
				r.Ended = append(r.Ended, end)
			}
		}
	}
	return r
}

// granted takes over the owner's reply.
func (n *Node) granted(report *workflow.Report, reply *workflow.ReportReply, sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Epoch < n.epoch {
		return
	}
	n.epoch = reply.Epoch
	if report.Executor == nil || n.current == nil || n.current.IncarnationID() != report.Executor.IncarnationID() {
		return
	}
	had := n.grantEnd.After(time.Now())
	if end := sent.Add(time.Duration(reply.GrantMillis) * time.Millisecond); reply.GrantMillis > 0 && end.After(n.grantEnd) {
		n.grantEnd = end
	}
	if !had && n.grantEnd.After(time.Now()) {
		n.log.Info("lease granted", "epoch", reply.Epoch, "executor", n.current.IncarnationID(), "until_ms", time.Until(n.grantEnd).Milliseconds())
		wake(n.wakeHold)
	}
	if reply.Ack > n.ack {
		n.ack = reply.Ack
		wake(n.wakeHold)
	}
	if report.TraitsUnknown && report.Listed {
		n.unaware = false
	}
	if reply.HeadroomLosses != nil {
		n.losses = reply.HeadroomLosses
	}
	for _, traits := range reply.Traits {
		n.traits[traits.Task] = traits
	}
}
