package requests

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// renewInterval is the interval at which upstreams are asked to renew their registration.
const renewInterval = 2 * time.Second

// maxRegistrationBytes is the maximum size of the body of a registration, in bytes.
const maxRegistrationBytes = 4 << 10

// serveRegister handles POST /v1/upstreams.
func (m *Module) serveRegister(w http.ResponseWriter, r *http.Request) {
	var registration structs.UpstreamRegistration
	body, err := ingress.ReadBody(w, r, maxRegistrationBytes)
	if ingress.WriteError(w, err) {
		return
	}
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&registration)
	}
	if err != nil {
		m.rejectRegistration(w, http.StatusBadRequest, err.Error())
		return
	}
	address, err := validateRegistration(registration, r.RemoteAddr, &m.settings)
	if err != nil {
		m.metrics.registrationsRejected.Inc(1)
		kernel.WriteJSON(w, http.StatusUnprocessableEntity, err)
		return
	}
	switch m.upstreams.register(registration, address) {
	case conflicting:
		m.rejectRegistration(w, http.StatusConflict, "the service has another registration that was renewed in time")
		return
	case stillLeaving:
		m.rejectRegistration(w, http.StatusConflict, "the upstream or its agent is leaving")
		return
	case tooMany:
		m.rejectRegistration(w, http.StatusServiceUnavailable, "the agent has no room for another upstream")
		return
	case registered:
		m.log.Info("upstream registered", "service", registration.Service, "address", address)
		m.notifyAnnouncer()
	case renewed:
	}
	kernel.WriteJSON(w, http.StatusOK, structs.UpstreamReply{
		RenewAfterMillis: renewInterval.Milliseconds(), AgentIncarnation: m.incarnation,
	})
}

func (m *Module) rejectRegistration(w http.ResponseWriter, status int, message string) {
	m.metrics.registrationsRejected.Inc(1)
	kernel.WriteJSON(w, status, findings.Error{Findings: []findings.Finding{{Message: message}}})
}

// leaveReply is the response body to DELETE /v1/upstreams/{service}.
type leaveReply struct {
	// Left is true once the upstream is removed and none of its requests is queued or running. Otherwise the upstream has
	// to repeat the DELETE.
	Left bool `json:"left"`
}

const (
	// leaveWait limits the duration of one DELETE.
	leaveWait = 20 * time.Second
	// retireInterval is how often a leaving upstream is checked for remaining requests.
	retireInterval = 20 * time.Millisecond
)

// serveLeave handles DELETE /v1/upstreams/{service}. It responds once the upstream may stop, which is when its leaving
// was announced to the entries and its accepted requests have ended, or after leaveWait. An unknown service counts as
// having left. If the query parameter address is given, it must match the registration, so that a delayed message of a
// former upstream can't remove its successor.
func (m *Module) serveLeave(w http.ResponseWriter, r *http.Request) {
	u, first, allowed := m.upstreams.markLeaving(mux.Vars(r)["service"], r.URL.Query().Get("address"), r.RemoteAddr)
	switch {
	case u == nil:
		kernel.WriteJSON(w, http.StatusOK, leaveReply{Left: true})
		return
	case !allowed:
		m.rejectRegistration(w, http.StatusForbidden, "the sender or the address is not that of the registration")
		return
	}
	if first {
		m.log.Info("upstream leaves", "service", u.service, "address", u.address)
		go m.retire(u)
	}
	timer := time.NewTimer(leaveWait)
	defer timer.Stop()
	select {
	case <-u.removed:
		kernel.WriteJSON(w, http.StatusOK, leaveReply{Left: true})
	case <-timer.C:
		kernel.WriteJSON(w, http.StatusAccepted, leaveReply{Left: false})
	case <-r.Context().Done():
	}
}

// retire removes an upstream: it announces to the entries that the upstream leaves, closes its admission, and waits until
// its requests have ended.
func (m *Module) retire(u *upstream) {
	defer close(u.removed)
	m.announceLeaving(context.Background())
	u.admission.Close()
	ticker := time.NewTicker(retireInterval)
	defer ticker.Stop()
	for load := u.admission.Load(); load.Running+load.Queued > 0; load = u.admission.Load() {
		<-ticker.C
	}
	m.upstreams.remove(u)
	m.notifyAnnouncer()
	m.log.Info("upstream has left", "service", u.service, "address", u.address)
}
