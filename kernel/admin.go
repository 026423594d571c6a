package kernel

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
)

// readiness is the response body of /readyz.
type readiness struct {
	Ready   bool              `json:"ready"`
	Reasons map[string]string `json:"reasons,omitempty"`
}

func (p *Process) adminRouter() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, struct {
			Incarnation string `json:"incarnation"`
		}{p.context.Incarnation})
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", p.serveReady).Methods(http.MethodGet)
	router.Handle("/metrics", p.telemetry.handler).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return router
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := readiness{Ready: true, Reasons: map[string]string{}}
	if p.draining.Load() {
		state.Ready = false
		state.Reasons["process"] = "draining"
	}
	if !p.started.Load() {
		state.Ready = false
		state.Reasons["process"] = "starting"
	}
	for name, module := range p.context.modules {
		checker, ok := module.(ReadyChecker)
		if !ok {
			continue
		}
		if err := checker.Ready(); err != nil {
			state.Ready = false
			state.Reasons[name] = err.Error()
		}
	}
	status := http.StatusOK
	if !state.Ready {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(w, status, state)
}

// WriteJSON sends a value as the complete response body, encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// No process reads the Date header, which would be a fifth of a heartbeat response.
	w.Header()["Date"] = nil
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
