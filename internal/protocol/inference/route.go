package inference

import (
	"net/http"
	"strings"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// requestKind distinguishes inference, the list of models and plain services.
type requestKind int

const (
	kindInference requestKind = iota + 1
	kindModels
	kindService
)

// selection is what the header and the path of a request determine about its
// route.
type selection struct {
	kind requestKind
	// route is nil if the model in the body selects it.
	route *statev1.Route
	// path is the escaped path. For a model route it is the path of the inference
	// API without the route's prefix, for a service the path of the caller.
	path string
}

// checkRequest refuses requests that the entry and an endpoint could interpret
// differently.
func checkRequest(r *http.Request) error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return resultcode.New(resultcode.MethodNotAllowed, "method %s is not supported", r.Method)
	}
	if err := checkPath(r.URL.Path); err != nil {
		return err
	}
	for _, name := range []string{HeaderRoute, exchange.HeaderIdempotencyKey, "Authorization"} {
		if len(r.Header[name]) > 1 {
			return resultcode.New(resultcode.BadRequest, "header %s occurs more than once", name)
		}
	}
	key := r.Header.Get(exchange.HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyLen {
		return resultcode.New(resultcode.BadRequest, "header %s has more than %d bytes", exchange.HeaderIdempotencyKey, maxIdempotencyKeyLen)
	}
	return nil
}

// checkPath refuses decoded paths that endpoints commonly normalize. With such a
// path a caller could use one route to reach a path that belongs to another.
func checkPath(path string) error {
	if !strings.HasPrefix(path, "/") {
		return resultcode.New(resultcode.BadRequest, "the path does not start with a slash")
	}
	if strings.ContainsFunc(path, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }) {
		return resultcode.New(resultcode.BadRequest, "the path contains a control character or a backslash")
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || (s == "" && i < len(segments)-1) {
			return resultcode.New(resultcode.BadRequest, "the path contains an empty segment or a dot segment")
		}
	}
	return nil
}

// selectRoute selects the route by header or else by path prefix. Without either,
// the model in the body selects it later.
func selectRoute(routes Routes, r *http.Request) (selection, error) {
	route, err := namedRoute(routes, r)
	if err != nil {
		return selection{}, err
	}
	escaped := r.URL.EscapedPath()
	if route == nil {
		return matchInferencePath(escaped)
	}
	if route.GetKind() == statev1.RouteKind_ROUTE_KIND_SERVICE {
		return matchServicePath(route, escaped)
	}
	rest, _ := cutPathPrefix(escaped, route.GetPathPrefix())
	sel, err := matchInferencePath(rest)
	sel.route = route
	return sel, err
}

// namedRoute returns the route that the header or the path names, or nil.
func namedRoute(routes Routes, r *http.Request) (*statev1.Route, error) {
	if name := r.Header.Get(HeaderRoute); name != "" {
		route := routes.Route(name)
		if route == nil {
			return nil, resultcode.New(resultcode.NoRoute, "route %q does not exist", truncate(name))
		}
		return route, nil
	}
	route := routes.RouteForPath(r.URL.Path)
	// An escaped prefix could match one route here and another one at the
	// endpoint.
	if routes.RouteForPath(r.URL.EscapedPath()) != route {
		return nil, resultcode.New(resultcode.BadRequest, "the path prefix of a route must not be escaped")
	}
	return route, nil
}

// matchInferencePath recognizes the paths of the inference API.
func matchInferencePath(path string) (selection, error) {
	switch path {
	case pathChat, pathCompletions:
		return selection{kind: kindInference, path: path}, nil
	case pathModels:
		return selection{kind: kindModels, path: path}, nil
	default:
		return selection{}, resultcode.New(resultcode.NoRoute, "no route matches the path")
	}
}

// matchServicePath selects a service route. The prefix stays in the path; the
// entry removes it.
func matchServicePath(route *statev1.Route, escaped string) (selection, error) {
	if _, ok := cutPathPrefix(escaped, route.GetPathPrefix()); route.GetStripPrefix() && !ok {
		return selection{}, resultcode.New(resultcode.NoRoute, "the path does not start with the prefix of route %q", route.GetName())
	}
	return selection{kind: kindService, route: route, path: escaped}, nil
}

// cutPathPrefix removes a prefix that ends at a segment boundary. The rest starts
// with a slash.
func cutPathPrefix(path, prefix string) (string, bool) {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	switch {
	case !ok:
		return path, false
	case rest == "":
		return "/", true
	case rest[0] != '/':
		return path, false
	default:
		return rest, true
	}
}

func checkMethod(w http.ResponseWriter, r *http.Request, kind requestKind) error {
	if kind != kindInference || r.Method == http.MethodPost {
		return nil
	}
	w.Header().Set("Allow", http.MethodPost)
	return resultcode.New(resultcode.MethodNotAllowed, "the path accepts POST only")
}
