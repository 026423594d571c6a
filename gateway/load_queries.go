package gateway

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

const (
	// summaryWait and maxSummaryQueries limit for how long, and for how many summaries, the submission of a job waits.
	summaryWait       = 150 * time.Millisecond
	maxSummaryQueries = 3
)

// refreshLoad asks the owner for a summary of a queue if the gateway has received none for admission.FreshAge, or if it needs a higher
// grant for the job. Large jobs wait for the answer, and others if they need a higher grant.
func (g *Gateway) refreshLoad(ctx context.Context, q *workflow.Queue, request *admission.Request) {
	timer := time.NewTimer(summaryWait)
	defer timer.Stop()
	for range maxSummaryQueries {
		now := time.Now()
		s := g.snapshot(q, request, now)
		needsGrant, pause := admission.NeedsGrant(&s, request), admission.FreshAge
		if needsGrant {
			pause = 0
		} else if s.Summary != nil && s.Age < admission.FreshAge {
			return
		}
		if _, present := g.locator.Current(); !present {
			return
		}
		queryDone, isFirst := g.loads.beginQuery(q.Name, pause, now)
		if queryDone == nil {
			return
		}
		if isFirst {
			g.metrics.loadAsked.Inc(1)
			go g.queryLoad(context.WithoutCancel(ctx), q.Name, queryDone)
		}
		if !request.IsLarge() && !needsGrant {
			return
		}
		select {
		case <-queryDone:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) queryLoad(ctx context.Context, queue string, queryDone chan struct{}) {
	defer g.loads.endQuery(queue, queryDone)
	var status workflow.QueueStatus
	if err := g.queryOwnerFor(ctx, owner.QueuePath+url.PathEscape(queue), g.newSummaryRequest(queue), &status); err != nil {
		g.log.Debug("no summary of the load", "queue", queue, "error", err)
	}
}

// newSummaryRequest returns the request for a summary of a queue. For small jobs it asks for room for twice as many as the gateway has
// got lately, since that many may follow.
func (g *Gateway) newSummaryRequest(queue string) *admission.Ask {
	want := g.recent.footprint(time.Now())
	want.Small = 2*want.Small + admission.SmallGrant
	return &admission.Ask{Gateway: g.instance, Want: want, Queue: queue}
}

// receiveLoad takes the summary from a response of the owner to a query that asked for one.
func (g *Gateway) receiveLoad(response *rpc.Response, sentAt time.Time) {
	now := time.Now()
	text := response.Header.Get(admission.Header)
	if text == "" {
		if response.Status == http.StatusOK {
			g.loads.recordNoSummary(now)
		}
		return
	}
	if text == admission.NoSummary {
		return
	}
	summary, err := admission.Decode(text)
	if err != nil {
		g.log.Debug("summary of the load ignored", "summary", text, "error", err)
		return
	}
	g.loads.receive(summary, sentAt, now)
}
