package workertest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/worker"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Handler serves the task API, and for tests the fault injection at /faults, the call counts at /calls and the run
// history at /history.
func (w *Worker) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/tasks", func(out http.ResponseWriter, r *http.Request) {
		var spec worker.TaskSpec
		if decode(out, r, &spec) {
			respond(out, nil, w.Start(r.Context(), spec))
		}
	}).Methods(http.MethodPost)
	router.HandleFunc("/v1/tasks", func(out http.ResponseWriter, r *http.Request) {
		tasks, err := w.Status(r.Context())
		respond(out, worker.StatusReply{Tasks: tasks}, err)
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/tasks/{id}/lease", func(out http.ResponseWriter, r *http.Request) {
		var body worker.LeaseRequest
		if decode(out, r, &body) {
			respond(out, nil, w.Renew(r.Context(), taskID(r), time.Duration(body.LeaseMillis)*time.Millisecond))
		}
	}).Methods(http.MethodPut)
	router.HandleFunc("/v1/tasks/{id}/throttle", func(out http.ResponseWriter, r *http.Request) {
		var body worker.ThrottleRequest
		if decode(out, r, &body) {
			respond(out, nil, w.Throttle(r.Context(), taskID(r), body.Share))
		}
	}).Methods(http.MethodPut)
	router.HandleFunc("/v1/tasks/{id}/checkpoint", func(out http.ResponseWriter, r *http.Request) {
		id, err := w.Checkpoint(r.Context(), taskID(r))
		respond(out, worker.CheckpointReply{CheckpointID: id}, err)
	}).Methods(http.MethodPost)
	router.HandleFunc("/v1/tasks/{id}", func(out http.ResponseWriter, r *http.Request) {
		respond(out, nil, w.Stop(r.Context(), taskID(r)))
	}).Methods(http.MethodDelete)
	router.HandleFunc("/faults", func(out http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(out, r, &faults) {
			w.SetFaults(faults)
			respond(out, faults, nil)
		}
	}).Methods(http.MethodPost)
	router.HandleFunc("/calls", func(out http.ResponseWriter, _ *http.Request) { respond(out, w.Calls(), nil) })
	router.HandleFunc("/history", func(out http.ResponseWriter, _ *http.Request) { respond(out, w.History(), nil) })
	return router
}

func taskID(r *http.Request) string {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return id
}

func decode(out http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		write(out, http.StatusBadRequest, worker.ErrorReply{Error: err.Error()})
	}
	return err == nil
}

func respond(out http.ResponseWriter, value any, err error) {
	if err != nil {
		write(out, worker.HTTPStatus(err), worker.ErrorReply{Error: err.Error()})
		return
	}
	if value == nil {
		value = struct{}{}
	}
	write(out, http.StatusOK, value)
}

func write(out http.ResponseWriter, status int, value any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(value)
}
