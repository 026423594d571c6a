package owner

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxAnnounceBytes bounds the announcement of an owner.
const maxAnnounceBytes = 4096

// RegisterAnnounce adds the path that takes announcements of owners.
func RegisterAnnounce(router *mux.Router, locator *ownership.Locator) {
	router.HandleFunc(AnnouncePath, func(w http.ResponseWriter, r *http.Request) {
		var record workflow.OwnerRecord
		if !rpc.ReadJSON(w, r, maxAnnounceBytes, &record) {
			return
		}
		if !locator.Update(record) {
			rpc.WriteJSON(w, http.StatusConflict, struct{}{})
			return
		}
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
}
