package jobs

import (
	"context"
	"errors"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/store"
)

// Name is the name of the module.
const Name = "entry.jobs"

const (
	// maxJobBytes bounds the request body of a submission.
	maxJobBytes = 1 << 18
	// retryAfterSeconds is the Retry-After value of calls that were not carried out.
	retryAfterSeconds = "2"
)

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleEntry},
		After: shard.DependencyModules,
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module serves the job API.
type Module struct {
	service *Service
	scope   tally.Scope
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return nil }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	dependencies, err := shard.ResolveDependencies(c)
	if err != nil {
		return err
	}
	m.scope = c.Metrics.SubScope("jobs")
	client := shard.NewClient(dependencies.Owners, dependencies.Store, c.Clock)
	m.service = NewService(dependencies.Store, clock.System{}, dependencies.Follower, client)
	m.Routes(c.Router)
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(context.Context) error { return nil }

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error { return nil }

// Routes registers the handlers of the job API.
func (m *Module) Routes(router *mux.Router) {
	router.HandleFunc("/v1/jobs", m.submit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		list, err := m.service.List(r.Context())
		m.respond(w, http.StatusOK, list, mapReadError(err))
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		status, err := m.service.Status(r.Context(), mux.Vars(r)["id"])
		m.respond(w, http.StatusOK, status, mapReadError(err))
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		status, err := m.service.Cancel(r.Context(), mux.Vars(r)["id"])
		m.respond(w, http.StatusOK, status, err)
	}).Methods(http.MethodDelete)
}

// submitResponse is the response body of an accepted submission.
type submitResponse struct {
	ID string `json:"id"`
}

func (m *Module) submit(w http.ResponseWriter, r *http.Request) {
	raw, err := ingress.ReadBody(w, r, maxJobBytes)
	if err == nil {
		err = ingress.ChargeJSON(r, raw)
	}
	if err != nil {
		if ingress.WriteError(w, err) {
			return
		}
		kernel.WriteJSON(w, http.StatusRequestEntityTooLarge, shard.ErrorResponse{Error: "the job is too large"})
		return
	}
	job, err := m.service.Submit(r.Context(), raw)
	m.respond(w, http.StatusAccepted, submitResponse{ID: job.ID}, err)
}

// mapReadError maps a lost response to a read to shard.ErrNoOwner, since a read can simply be retried.
func mapReadError(err error) error {
	if errors.Is(err, shard.ErrUnreachable) {
		return shard.ErrNoOwner
	}
	return err
}

// respond sends a result or maps an error to a status. An error that leaves the outcome open is reported as a timeout.
func (m *Module) respond(w http.ResponseWriter, status int, value any, err error) {
	var rejected *findings.Error
	switch {
	case err == nil:
		kernel.WriteJSON(w, status, value)
		return
	case errors.As(err, &rejected):
		kernel.WriteJSON(w, http.StatusUnprocessableEntity, rejected)
		return
	case errors.Is(err, shard.ErrUnknownJob):
		status = http.StatusNotFound
	case errors.Is(err, shard.ErrNotOwner), errors.Is(err, store.ErrUnavailable), errors.Is(err, shard.ErrBusy),
		errors.Is(err, shard.ErrNoOwner):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfterSeconds)
	default:
		status = http.StatusGatewayTimeout
	}
	m.scope.Counter("failures").Inc(1)
	kernel.WriteJSON(w, status, shard.ErrorResponse{Error: err.Error()})
}
