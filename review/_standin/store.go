package main

import (
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/platform/platformtest"
)

const (
	// storeAnswerTime is how long the store takes to answer a call.
	storeAnswerTime = platformtest.AnswerTime
	// storeCaller is the name under which the store serves all programs of a case.
	storeCaller = "programs"
)

// store stands in for the platform's metadata store. It keeps the whole history.
type store struct{ *platformtest.Store }

func newStore() *store {
	s := &store{platformtest.NewStore()}
	s.KeepHistory()
	return s
}

// setDelay sets how long the store takes to answer a call.
func (s *store) setDelay(delay time.Duration) {
	s.SetFault(&platformtest.Fault{Delay: delay}, storeCaller)
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) { s.Put(key, value) }

func (s *store) handler() http.Handler {
	return s.Handler(storeCaller, func(value []byte) []byte { return value })
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	platformtest.WriteJSON(w, status, body)
}
