package storetest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/store"
)

const (
	// maxBodyBytes is enough for a value of the maximum size in base64 together with the other fields.
	maxBodyBytes = 2 * store.MaxValueBytes
	// maxWatchWait limits the wait of a watch request.
	maxWatchWait = 30 * time.Second
)

// Handler serves the HTTP protocol of the key-value service, the injected faults at /faults and the call counts at /calls.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/kv/{key}", s.serveGet).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv/{key}", s.servePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/kv/{key}", s.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc("/v1/list", s.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/leases", s.serveGrant).Methods(http.MethodPost)
	router.HandleFunc("/v1/leases/{id}", s.serveKeepAlive).Methods(http.MethodPut)
	router.HandleFunc("/v1/leases/{id}", s.serveRevoke).Methods(http.MethodDelete)
	router.HandleFunc("/v1/watch/{key}", s.serveWatch).Methods(http.MethodGet)
	router.HandleFunc("/faults", s.serveSetFaults).Methods(http.MethodPost)
	router.HandleFunc("/faults", func(w http.ResponseWriter, _ *http.Request) { writeReply(w, s.Faults(), nil) })
	router.HandleFunc("/faults/release", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, map[string]int{"released": s.ReleaseHeld()}, nil)
	}).Methods(http.MethodPost)
	router.HandleFunc("/calls", func(w http.ResponseWriter, _ *http.Request) { writeReply(w, s.counters.Snapshot(), nil) })
	return router
}

// writeReply sends a value or an error. It aborts the connection for an error without a code, such as an unknown result.
func writeReply(w http.ResponseWriter, value any, err error) {
	status := http.StatusOK
	if err != nil {
		code, body, ok := store.EncodeError(err)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		status, value = code, body
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func pathVariable(r *http.Request, name string) string {
	text, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return ""
	}
	return text
}

func readBody(r *http.Request, target any) error {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return store.ErrUnknownResult
	}
	if len(raw) > maxBodyBytes {
		return store.ErrTooLarge
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return store.ErrInvalid
	}
	return nil
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Get(r.Context(), pathVariable(r, "key"))
	writeReply(w, entry, err)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	entries, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	writeReply(w, store.ListReply{Entries: entries}, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	var body store.PutRequest
	if err := readBody(r, &body); err != nil {
		writeReply(w, nil, err)
		return
	}
	opts := store.PutOptions{IfRevision: body.IfRevision, Lease: body.Lease}
	entry, err := s.Put(r.Context(), pathVariable(r, "key"), body.Value, opts)
	writeReply(w, store.PutReply{Revision: entry.Revision}, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("if_revision"), 10, 64)
	if err != nil {
		writeReply(w, nil, store.ErrInvalid)
		return
	}
	writeReply(w, struct{}{}, s.Delete(r.Context(), pathVariable(r, "key"), revision))
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body store.GrantRequest
	if err := readBody(r, &body); err != nil {
		writeReply(w, nil, err)
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(body.TTLMillis)*time.Millisecond)
	writeReply(w, store.GrantReply{ID: id}, err)
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	writeReply(w, struct{}{}, s.KeepAlive(r.Context(), store.LeaseID(pathVariable(r, "id"))))
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	writeReply(w, struct{}{}, s.Revoke(r.Context(), store.LeaseID(pathVariable(r, "id"))))
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		writeReply(w, nil, store.ErrInvalid)
		return
	}
	wait := maxWatchWait
	if millis, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64); err == nil && millis > 0 {
		wait = min(wait, time.Duration(min(millis, maxWatchWait.Milliseconds()))*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	entry, err := s.Watch(ctx, pathVariable(r, "key"), after)
	writeReply(w, entry, err)
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := readBody(r, &faults); err != nil {
		writeReply(w, nil, err)
		return
	}
	s.SetFaults(faults)
	writeReply(w, faults, nil)
}
