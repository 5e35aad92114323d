// Package quarantinehttp lets an operator see which requests are suspected of
// crashing endpoints, with the evidence, and end a quarantine.
package quarantinehttp

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/suspect"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Path is the path of the list of suspects. Path, a slash and the escaped trait is
// the path of one of them.
const Path = "/quarantine"

// Directory holds the suspects. Its methods fail on a VM that does not lead.
type Directory interface {
	// Suspects returns the suspects and the time to which theirs relate.
	Suspects() (now time.Duration, list []suspect.Suspect, err error)
	// LiftQuarantine reports whether the trait was in quarantine.
	LiftQuarantine(t suspect.Trait) (bool, error)
}

type suspectJSON struct {
	Trait       suspect.Trait `json:"trait"`
	Quarantined bool          `json:"quarantined"`
	Crashes     int           `json:"crashes"`
	// LastCrashMS is the time since the last crash.
	LastCrashMS int64 `json:"last_crash_ms"`
	// EndsInMS is the time until the quarantine ends by itself.
	EndsInMS int64 `json:"ends_in_ms,omitempty"`
}

// New returns the handler. GET Path lists the suspects, DELETE Path/TRAIT ends a
// quarantine. A VM that does not lead answers 503.
func New(d Directory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) { list(d, w) })
	mux.HandleFunc("DELETE "+Path+"/", func(w http.ResponseWriter, r *http.Request) { lift(d, w, r) })
	return mux
}

func list(d Directory, w http.ResponseWriter) {
	now, suspects, err := d.Suspects()
	if err != nil {
		refuse(w, err)
		return
	}
	out := make([]suspectJSON, 0, len(suspects))
	for _, s := range suspects {
		row := suspectJSON{Trait: s.Trait, Quarantined: s.Quarantined, Crashes: s.Crashes, LastCrashMS: (now - s.Last).Milliseconds()}
		if s.Quarantined {
			row.EndsInMS = (s.Last + suspect.QuarantineTime - now).Milliseconds()
		}
		out = append(out, row)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the operator asks again if the response is lost
}

func lift(d Directory, w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), Path+"/"))
	if err != nil {
		http.Error(w, "the trait in the path is not escaped correctly: "+err.Error(), http.StatusBadRequest)
		return
	}
	lifted, err := d.LiftQuarantine(suspect.Trait(name))
	switch {
	case err != nil:
		refuse(w, err)
	case !lifted:
		http.Error(w, "trait "+name+" is not in quarantine", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func refuse(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), resultcode.Of(err).Info().Status)
}
