package daemon

import (
	"encoding/json"
	"net/http"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
)

// handleAccepted takes a change that the platform has accepted from the
// operator who wrote it, so that it comes into force also if no relay sees it
// before the platform goes down. It answers when the change is in force here.
func (d *Daemon) handleAccepted(w http.ResponseWriter, r *http.Request) {
	var in operatorapi.AcceptedChange
	body := http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := in.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	event := platform.Event{
		Object:  platform.Object{Kind: platform.KindCatalogue, Name: in.Name, Version: in.Version, Data: in.Data},
		Deleted: in.Deleted,
	}
	f := d.factFromEvent(event)
	if f.ID.Kind == factInvalid {
		http.Error(w, "object is not a valid entry", http.StatusUnprocessableEntity)
		return
	}
	d.log.Info().Str("event", "catalogue.accepted").Str("object", in.Name).Uint64("version", in.Version).Send()
	d.publish(f)
	w.WriteHeader(http.StatusNoContent)
}
