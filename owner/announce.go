package owner

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxAnnounceBytes limits the body of an owner announcement.
const maxAnnounceBytes = 4096

// RegisterAnnounce registers the handler that receives announcements of a new owner and updates the locator.
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
