package ibisbackend

import (
	"encoding/json"
	"net/http"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// PathAnnounce is the path of a node's local endpoint that receives announcements.
const PathAnnounce = "/ibis/backend"

const maxAnnouncementBytes = 16 << 10

type announcementBody struct {
	Service      ibisid.ServiceName `json:"service"`
	Address      string             `json:"address"`
	Slots        int                `json:"slots"`
	Connections  int                `json:"connections"`
	ChecksGrants bool               `json:"checksGrants"`
	Cold         bool               `json:"cold"`
	Weight       float64            `json:"weight"`
	State        State              `json:"state"`
	Run          string             `json:"run"`
}

// NewEndpoint returns the handler of a node's local endpoint. It calls accept with each valid announcement, and answers
// 400 to an invalid announcement and 409 if accept returns an error.
func NewEndpoint(accept func(Announcement) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		announcement, err := readAnnouncement(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := accept(announcement); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	body := announcementBody{
		Weight: 1,
		State:  StateServing,
	}
	if err := decoder.Decode(&body); err != nil {
		return Announcement{}, err
	}
	announcement := Announcement(body)
	return announcement, announcement.Validate()
}
