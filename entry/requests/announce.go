package requests

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	maxAnnouncementBytes = 64 << 10
	// announcementOverhead is the number of bytes that an announcement takes on its connection in addition to the request
	// body: the request headers and the response. TestEntryCountsWireBytes of package announcer measures 269; the rest
	// allows for the longest address of an entry and for longer numbers. TCP and IP headers are not included.
	announcementOverhead = 280
)

// serveAnnounce applies the announcement of an agent and replies with the time until the next one is due.
func (m *Module) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement structs.Announcement
	body, err := ingress.ReadBody(w, r, maxAnnouncementBytes)
	if err == nil {
		err = ingress.ChargeJSON(r, body)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err == nil {
		err = decoder.Decode(&announcement)
	}
	if err != nil {
		m.metrics.refused.Inc(1)
		if ingress.WriteError(w, err) {
			return
		}
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if announcement.Fleet != m.context.Process.Fleet {
		m.metrics.otherFleet.Inc(1)
		http.Error(w, "announcement: the agent belongs to another fleet", http.StatusBadRequest)
		return
	}
	// The content length is unknown if the body is chunked.
	size := announcementOverhead + int(max(r.ContentLength, decoder.InputOffset()))
	applied, err := m.table.Apply(&announcement, size)
	switch {
	case errors.Is(err, routing.ErrStale):
		m.metrics.stale.Inc(1)
	case errors.Is(err, routing.ErrFull):
		m.metrics.refused.Inc(1)
		w.Header().Set("Retry-After", "30")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		m.metrics.refused.Inc(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	default:
		m.metrics.announced.Inc(1)
		m.logAnnouncement(&announcement, applied)
	}
	kernel.WriteJSON(w, http.StatusOK, structs.AnnounceReply{
		NextAfterMillis: applied.NextAfter.Milliseconds(), Incarnation: m.context.Incarnation,
	})
}

func (m *Module) logAnnouncement(a *structs.Announcement, applied routing.ApplyResult) {
	if applied.New {
		m.context.Log.Info("agent announced itself", "agent", a.Agent, "incarnation", a.Incarnation, "address", a.Address,
			"failure_domain", a.FailureDomain, "upstreams", len(a.Upstreams), "leaving", a.Leaving)
		return
	}
	if applied.LeavingChanged {
		m.context.Log.Info("leaving state of the agent or its upstreams changed", "agent", a.Agent, "leaving", a.Leaving)
	}
}

// observeProbe records the result of probing an idle connection to the agent at the address.
func (m *Module) observeProbe(address string, roundTrip time.Duration, err error) {
	if err != nil {
		m.metrics.scope.Counter("probes_failed").Inc(1)
		return
	}
	m.table.ObserveRoundTrip(address, roundTrip)
}
