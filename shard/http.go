package shard

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// maxHeartbeatBytes bounds the body of a heartbeat. 4096 results and 200 allocations take under 3 MB.
	maxHeartbeatBytes = 4 << 20
	// maxJobBytes bounds the body of a submitted job.
	maxJobBytes = 1 << 18
	// cancelTimeout bounds the wait for a cancellation to become durable.
	cancelTimeout = 10 * time.Second
)

// ErrorResponse is the body of responses with a status other than 200 and 202.
type ErrorResponse struct {
	Error string `json:"error"`
	// Owner is the shard's owner as far as this process knows.
	Owner *structs.ShardOwner `json:"owner,omitempty"`
}

// RegisterRoutes adds the HTTP API of shard owners to a router. findOwner returns the candidate for a shard, or nil.
func RegisterRoutes(router *mux.Router, findOwner func(shard int) *Owner) {
	h := handlers{findOwner: findOwner}
	router.HandleFunc("/v1/shards/{shard:[0-9]+}/heartbeat", h.withOwner(h.heartbeat)).Methods(http.MethodPost)
	router.HandleFunc("/v1/shards/{shard:[0-9]+}/jobs", h.withOwner(h.submit)).Methods(http.MethodPost)
	router.HandleFunc("/v1/shards/{shard:[0-9]+}/jobs", h.withOwner(h.list)).Methods(http.MethodGet)
	router.HandleFunc("/v1/shards/{shard:[0-9]+}/jobs/{id}", h.withOwner(h.status)).Methods(http.MethodGet)
	router.HandleFunc("/v1/shards/{shard:[0-9]+}/jobs/{id}", h.withOwner(h.cancel)).Methods(http.MethodDelete)
}

type handlers struct {
	findOwner func(shard int) *Owner
}

func (h handlers) withOwner(serve func(*Owner, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.Atoi(mux.Vars(r)["shard"])
		if err != nil {
			kernel.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: "shard is not a number"})
			return
		}
		owner := h.findOwner(number)
		if owner == nil {
			kernel.WriteJSON(w, http.StatusMisdirectedRequest, ErrorResponse{Error: ErrNotOwner.Error()})
			return
		}
		serve(owner, w, r)
	}
}

func (h handlers) heartbeat(o *Owner, w http.ResponseWriter, r *http.Request) {
	var hb structs.Heartbeat
	if !readJSON(w, r, maxHeartbeatBytes, &hb) {
		return
	}
	reply, err := o.Heartbeat(hb)
	o.respond(w, http.StatusOK, reply, err)
}

func (h handlers) submit(o *Owner, w http.ResponseWriter, r *http.Request) {
	var job structs.Job
	if readJSON(w, r, maxJobBytes, &job) {
		o.respond(w, http.StatusAccepted, struct{}{}, o.Submit(job))
	}
}

func (h handlers) list(o *Owner, w http.ResponseWriter, _ *http.Request) {
	jobs, err := o.Jobs()
	o.respond(w, http.StatusOK, structs.JobList{Jobs: jobs}, err)
}

func (h handlers) status(o *Owner, w http.ResponseWriter, r *http.Request) {
	status, err := o.Status(mux.Vars(r)["id"])
	o.respond(w, http.StatusOK, status, err)
}

func (h handlers) cancel(o *Owner, w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithTimeout(r.Context(), cancelTimeout)
	defer stop()
	id := mux.Vars(r)["id"]
	if err := o.Cancel(ctx, id); err != nil {
		o.respond(w, 0, nil, err)
		return
	}
	status, err := o.Status(id)
	if err != nil {
		status = structs.JobStatus{ID: id, Cancelled: true}
	}
	o.respond(w, http.StatusOK, status, nil)
}

func readJSON(w http.ResponseWriter, r *http.Request, limit int64, target any) bool {
	raw, err := ingress.ReadBody(w, r, limit)
	if err == nil {
		err = ingress.ChargeJSON(r, raw)
	}
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(raw)).Decode(target)
	}
	if err != nil && !ingress.WriteError(w, err) {
		kernel.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
	}
	return err == nil
}

func (o *Owner) respond(w http.ResponseWriter, status int, value any, err error) {
	if err == nil {
		kernel.WriteJSON(w, status, value)
		return
	}
	refusal := ErrorResponse{Error: err.Error()}
	if known, ok := o.owners.Lookup(o.config.Shard); ok {
		refusal.Owner = &known
	}
	kernel.WriteJSON(w, statusOf(err), refusal)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrNotOwner):
		return http.StatusMisdirectedRequest
	case errors.Is(err, ErrUnknownJob):
		return http.StatusNotFound
	case errors.Is(err, ErrBusy), errors.Is(err, ErrFull):
		return http.StatusTooManyRequests
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusConflict
	}
}
