package owner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/intake"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Paths of the internal HTTP API between processes.
const (
	// ReportPath receives the reports of nodes at the owner.
	ReportPath = "/v1/owner/report"
	// CreatePath and CancelPath let a gateway that can't reach the store create or cancel a job through the owner.
	CreatePath = "/v1/owner/create/"
	CancelPath = "/v1/owner/cancel/"
	// JobPath and QueuePath return the state of a job or a queue from the owner.
	JobPath   = "/v1/owner/jobs/"
	QueuePath = "/v1/owner/queues/"
	// OrdersPath receives the start and stop orders of the owner at a node.
	OrdersPath = "/v1/node/orders"
	// AnnouncePath receives the announcement of a new owner at any process.
	AnnouncePath = "/v1/owner/announce"
)

const (
	// createTimeout limits storing a job on behalf of a gateway.
	createTimeout = 1500 * time.Millisecond
	// maxReportBytes limits the body of a report, and of a job that a gateway relays. A report holds the lists of runs that an
	// executor has sent, which may take 4 MiB, and what the node adds.
	maxReportBytes = 8 << 20
)

// Register adds the handlers of the owner to the router. It must be called before Run.
func (c *Candidate) Register(router *mux.Router) {
	c.writer = intake.NewWriter(c.Store, c.Log)
	router.HandleFunc(CreatePath+"{id}", c.handleCreate).Methods(http.MethodPost)
	router.HandleFunc(CancelPath+"{id}", c.handleCancel).Methods(http.MethodPost)
	router.HandleFunc(ReportPath, c.handleReport).Methods(http.MethodPost)
	router.HandleFunc(JobPath+"{id}", c.handleJob).Methods(http.MethodGet)
	router.HandleFunc(QueuePath+"{name}", c.handleQueue).Methods(http.MethodGet)
}

func (c *Candidate) handleReport(w http.ResponseWriter, r *http.Request) {
	var report workflow.Report
	if !rpc.ReadJSON(w, r, maxReportBytes, &report) {
		return
	}
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	reply, ok := t.report(r.Context(), &report)
	if !ok {
		rpc.WriteNotOwner(w)
		return
	}
	rpc.WriteJSON(w, http.StatusOK, reply)
}

// handleCreate stores a job on behalf of a gateway.
func (c *Candidate) handleCreate(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	readErr := rpc.TryReadJSON(w, r, maxReportBytes, &value)
	if readErr != nil && !errors.Is(readErr, ingress.ErrRefused) {
		rpc.WriteBodyError(w, readErr)
		return
	}
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), createTimeout)
	defer cancel()
	id := mux.Vars(r)["id"]
	// A client whose answer was lost submits a job again. It must not be told that the job was not accepted, even if the
	// store can't be asked.
	if t.knows(ctx, id) {
		c.Log.Info("relayed job is known", "job", id)
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
		return
	}
	if readErr != nil {
		rpc.WriteBodyError(w, readErr)
		return
	}
	existing, err := c.writer.Create(ctx, JobPrefix+id, value)
	cancelled := existing != nil && workflow.IsTombstone(existing.Value)
	c.Log.Info("job relayed", "job", id, "cancelled", cancelled, "error", err)
	rpc.WriteJSON(w, createStatus(existing, err), struct{}{})
}

// createStatus returns the status of the response to a gateway whose job was to be stored.
func createStatus(existing *intake.Existing, err error) int {
	switch {
	case errors.Is(err, intake.ErrUnavailable):
		return http.StatusServiceUnavailable
	case err != nil:
		return http.StatusGatewayTimeout
	case existing == nil || !workflow.IsTombstone(existing.Value):
		return http.StatusOK
	case existing.MayBeReplaced:
		return http.StatusGatewayTimeout
	}
	return http.StatusGone
}

// handleCancel responds once the record of the cancelled job is stored.
func (c *Candidate) handleCancel(w http.ResponseWriter, r *http.Request) {
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	switch found, stored := t.cancel(r.Context(), mux.Vars(r)["id"]); {
	case !found:
		rpc.WriteJSON(w, http.StatusNotFound, struct{}{})
	case !stored:
		rpc.WriteJSON(w, http.StatusGatewayTimeout, struct{}{})
	default:
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (c *Candidate) handleJob(w http.ResponseWriter, r *http.Request) {
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	t.attachLoad(w, r)
	var phase workflow.Phase
	var found bool
	if !t.query(r.Context(), func() { phase, found = t.engine.Phase(mux.Vars(r)["id"]) }) {
		rpc.WriteNotOwner(w)
		return
	}
	if !found {
		rpc.WriteJSON(w, http.StatusNotFound, workflow.JobStatus{})
		return
	}
	rpc.WriteJSON(w, http.StatusOK, workflow.JobStatus{Phase: phase})
}

func (c *Candidate) handleQueue(w http.ResponseWriter, r *http.Request) {
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	t.attachLoad(w, r)
	status := workflow.QueueStatus{}
	if !t.query(r.Context(), func() { status.Waiting = t.engine.Waiting(mux.Vars(r)["name"]) }) {
		rpc.WriteNotOwner(w)
		return
	}
	rpc.WriteJSON(w, http.StatusOK, status)
}
