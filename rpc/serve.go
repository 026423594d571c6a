package rpc

import (
	"encoding/json"
	"io"
	"net/http"

	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Decode reads JSON as leniently as encoding/json, in a third of the time: an owner reads several hundred reports a second.
func Decode(data []byte, into any) error {
	return jsonv2.Unmarshal(data, into, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// ReadJSON reads the body of a request. It answers and returns false if the body is too long or can't be read.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = Decode(data, into)
	}
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// WriteJSON answers with a JSON body. A client that has gone is no error of the server.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// WriteNotOwner answers that another process has to be asked.
func WriteNotOwner(w http.ResponseWriter) {
	WriteJSON(w, http.StatusMisdirectedRequest, map[string]string{"error": "this process is not the owner"})
}
