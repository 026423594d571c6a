package operators

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store"
)

// applyTimeout bounds one change. The operator's connection doesn't limit it further, so that a broken connection
// doesn't abort a change in progress and leave its result unknown.
const applyTimeout = 10 * time.Second

// retryAfterSeconds is the Retry-After value of changes that were not applied.
const retryAfterSeconds = "2"

func (m *Module) serveStatus(w http.ResponseWriter, _ *http.Request) {
	// A proof for a peer without a head holds a consistent snapshot of the head and its age.
	proof := m.follower.FreshnessProof(0)
	status := config.Status{ConfirmedAgeMillis: proof.AgeMillis, LoadedRevision: m.follower.Loaded().Head.Revision}
	if proof.Head != nil {
		status.Head = *proof.Head
	}
	kernel.WriteJSON(w, http.StatusOK, status)
}

func (m *Module) serveRules(w http.ResponseWriter, _ *http.Request) {
	kernel.WriteJSON(w, http.StatusOK, m.follower.Rules())
}

func (m *Module) serveInventory(w http.ResponseWriter, _ *http.Request) {
	kernel.WriteJSON(w, http.StatusOK, m.follower.Inventory().Workers)
}

func (m *Module) servePutInventory(w http.ResponseWriter, r *http.Request) {
	data, ok := m.readBody(w, r, config.MaxInventoryBytes)
	if !ok {
		return
	}
	query := r.URL.Query()
	format := config.Format(query.Get("format"))
	if format == "" {
		format = config.FormatCSV
	}
	m.apply(w, r, config.Change{
		Inventory: &config.InventoryFile{Name: fileName(query, "inventory"), Format: format, Data: data},
	})
}

func (m *Module) servePutRules(w http.ResponseWriter, r *http.Request) {
	data, ok := m.readBody(w, r, config.MaxRulesBytes)
	if !ok {
		return
	}
	m.apply(w, r, config.Change{Rules: &config.RulesFile{Name: fileName(r.URL.Query(), "rules"), Data: data}})
}

func (m *Module) serveDomain(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		name = mux.Vars(r)["name"]
	}
	m.apply(w, r, config.Change{Domain: &config.DomainChange{Name: name, Out: mux.Vars(r)["state"] == "out"}})
}

// fileName returns the file name that the operator gave, which findings refer to, or a default.
func fileName(query url.Values, fallback string) string {
	const limit = 200
	if name := query.Get("file"); name != "" && len(name) <= limit {
		return name
	}
	return fallback
}

// readBody reads a file from the request. It allows one byte more than the limit, so that the parser rejects a file that is
// slightly too large with its reason.
func (m *Module) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	data, err := ingress.ReadBody(w, r, limit+1)
	if errors.Is(err, ingress.ErrRefused) {
		m.replyError(w, http.StatusServiceUnavailable, config.ErrorReply{Error: config.ErrorNotApplied, Message: err.Error()})
		return nil, false
	}
	if err != nil {
		m.replyError(w, http.StatusBadRequest, config.ErrorReply{Error: config.ErrorNotApplied, Message: "reading the body: " + err.Error()})
		return nil, false
	}
	return data, true
}

// baseRevision returns the base revision of a change from the query, or AnyBase if there is none.
func baseRevision(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return config.AnyBase, nil
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		var found findings.List
		found.Addf(findings.Location{Key: "base"}, "%.40q is not a revision", text)
		return 0, found.Err()
	}
	return revision, nil
}

func (m *Module) apply(w http.ResponseWriter, r *http.Request, change config.Change) {
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	default:
		m.replyError(w, http.StatusServiceUnavailable, config.ErrorReply{Error: config.ErrorNotApplied, Message: "too many changes are in progress"})
		return
	}
	change.ID = r.URL.Query().Get("change")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), applyTimeout)
	defer cancel()
	revision, err := baseRevision(r)
	var head config.Head
	if err == nil {
		head, err = m.acceptor.Apply(ctx, revision, change)
	}
	if err != nil {
		status, reply := errorResponse(err)
		m.replyError(w, status, reply)
		return
	}
	_ = m.follower.ObserveHead(head)
	m.scope.Tagged(map[string]string{"result": "accepted"}).Counter("changes").Inc(1)
	m.log.Info("configuration change accepted", "revision", head.Revision, "change", head.ChangeID())
	kernel.WriteJSON(w, http.StatusOK, head)
}

// errorResponse returns the response status and body for an error of Acceptor.Apply.
func errorResponse(err error) (int, config.ErrorReply) {
	reply := config.ErrorReply{Message: err.Error()}
	var invalid *findings.Error
	switch {
	case errors.As(err, &invalid):
		reply.Error, reply.Findings = config.ErrorInvalid, invalid.Findings
		return http.StatusUnprocessableEntity, reply
	case errors.As(err, &reply.Conflict):
		reply.Error = config.ErrorConflict
		return http.StatusConflict, reply
	case errors.Is(err, store.ErrUnknownResult):
		reply.Error = config.ErrorUnknown
		return http.StatusGatewayTimeout, reply
	case errors.Is(err, store.ErrUnavailable):
		reply.Error = config.ErrorNotApplied
		return http.StatusServiceUnavailable, reply
	}
	// Any other error leaves it open whether the change was written.
	reply.Error = config.ErrorUnknown
	return http.StatusGatewayTimeout, reply
}

func (m *Module) replyError(w http.ResponseWriter, status int, reply config.ErrorReply) {
	m.scope.Tagged(map[string]string{"result": string(reply.Error)}).Counter("changes").Inc(1)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	kernel.WriteJSON(w, status, reply)
}
