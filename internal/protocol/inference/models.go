package inference

import (
	"encoding/json"
	"net/http"
	"strconv"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// serveModels lists the models that have a route: all of them for a caller with
// a key, otherwise those of open routes. If onlyRoute is not nil, the list is
// limited to the model of that route.
func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request, id string, routes Routes, onlyRoute *statev1.Route) error {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", http.MethodGet)
		return resultcode.New(resultcode.MethodNotAllowed, "the path accepts GET and HEAD only")
	}
	authenticated, err := h.authenticate(r, routes, onlyRoute)
	if err != nil {
		return err
	}
	visible := visibleModels(routes.Config(), onlyRoute, authenticated)
	if len(visible) == 0 && !authenticated {
		return resultcode.New(resultcode.KeyMissing, "listing models requires a key")
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range routes.Config().GetModels() {
		if visible[m.GetName()] {
			list.Data = appendModel(list.Data, m)
		}
	}
	return writeJSON(w, id, list)
}

// authenticate reports whether the request has a valid key. If onlyRoute is not nil,
// only its key sources are searched. A request without a key is not an error. A key
// is refused while the fleet state is stale, because it could have been withdrawn.
func (h *Handler) authenticate(r *http.Request, routes Routes, onlyRoute *statev1.Route) (bool, error) {
	key := findModelsKey(r, routes, onlyRoute)
	if key == "" {
		return false, nil
	}
	if h.opts.Fresh != nil && !h.opts.Fresh() {
		return false, resultcode.New(resultcode.NoFreshState, "the key cannot be verified while the fleet state is stale")
	}
	if _, ok := routes.Authenticate(key); !ok {
		return false, resultcode.New(resultcode.KeyUnknown, "the key is not known")
	}
	return true, nil
}

// findModelsKey searches the key sources of onlyRoute, or those of every model route
// if it is nil.
func findModelsKey(r *http.Request, routes Routes, onlyRoute *statev1.Route) string {
	if onlyRoute != nil {
		return findKey(onlyRoute, r)
	}
	for _, route := range routes.Config().GetRoutes() {
		if route.GetKind() != statev1.RouteKind_ROUTE_KIND_MODEL {
			continue
		}
		if key := findKey(route, r); key != "" {
			return key
		}
	}
	return ""
}

func visibleModels(c *statev1.Config, onlyRoute *statev1.Route, authenticated bool) map[string]bool {
	out := make(map[string]bool)
	for _, route := range c.GetRoutes() {
		if onlyRoute != nil && route.GetName() != onlyRoute.GetName() {
			continue
		}
		if route.GetKind() == statev1.RouteKind_ROUTE_KIND_MODEL && (authenticated || route.GetOpen()) {
			out[route.GetModel()] = true
		}
	}
	return out
}

func appendModel(list []modelEntry, m *statev1.Model) []modelEntry {
	list = append(list, modelEntry{ID: m.GetName(), Object: "model", OwnedBy: "radishloom"})
	for _, adapter := range m.GetAdapters() {
		list = append(list, modelEntry{ID: adapter, Object: "model", OwnedBy: "radishloom", Parent: m.GetName()})
	}
	return list
}

func writeJSON(w http.ResponseWriter, id string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return resultcode.Wrap(resultcode.Internal, err, "encode the response")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(exchange.HeaderRequestID, id)
	w.WriteHeader(http.StatusOK)
	// The status is sent, so a write error cannot be reported to the caller.
	_, _ = w.Write(body)
	return nil
}
