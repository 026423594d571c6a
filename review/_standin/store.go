package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store. It keeps the whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*item
	history  []event
	leases   map[int64]*storeLease
	changed  chan struct{}
	delay    time.Duration
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
}

type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

const (
	// storeAnswerTime is how long the store takes to answer a call.
	storeAnswerTime = 4 * time.Millisecond
	// pageItems and pageBytes limit a page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// maxTransactionRows limits a transaction.
	maxTransactionRows = 32
)

func newStore() *store {
	s := &store{revision: 100, items: map[string]*item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), delay: storeAnswerTime}
	go s.expireLeases()
	return s
}

// setDelay sets how long the store takes to answer a call.
func (s *store) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.notify()
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.CreateRev
	}
	s.items[key] = &item{key, value, s.revision, created, lease}
	s.history = append(s.history, event{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: lease})
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.revoke)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()
		time.Sleep(delay)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"storeRevision"`
	}{*i, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	found, size, truncated := []*item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if size += len(i.Value); len(found) == pageItems || len(found) > 0 && size > pageBytes {
			truncated = true
			break
		}
		found = append(found, i)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Precondition)+len(body.Puts)+len(body.Remove) > maxTransactionRows {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": fmt.Sprint("bad transaction: ", err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []*item{}
	for _, c := range body.Precondition {
		revision := int64(0)
		if i := s.items[c.Key]; i != nil {
			revision = i.Revision
			current = append(current, i)
		}
		holds = holds && revision == c.Revision
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMs < 1000 {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "bad ttlMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ttl := int64(len(s.history))*1000+int64(len(s.leases))+time.Now().UnixMilli()%1000000*1000, time.Duration(body.TTLMs)*time.Millisecond
	for s.leases[id] != nil || id == 0 {
		id++
	}
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	l.until = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
