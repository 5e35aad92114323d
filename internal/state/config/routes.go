package config

import (
	"fmt"
	"strings"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// ReservedPaths returns the paths that the daemon itself serves. The prefix of a
// route must neither contain one of them nor lie below one.
func ReservedPaths() []string {
	return []string{
		"/healthz",
		"/readyz",
		"/v1/chat/completions",
		"/v1/completions",
		"/v1/embeddings",
		"/v1/models",
	}
}

func (v *validator) checkRoutes() {
	list := v.config.GetRoutes()
	paths := checkNames(v, "routes", "name", list, (*statev1.Route).GetName)
	prefixes := make(map[string]string, len(list))
	for i, r := range list {
		v.checkRouteTarget(paths[i], r)
		v.checkPrefix(paths[i], r, prefixes)
		if !v.profiles[r.GetProfile()] {
			v.add(paths[i]+".profile", r.GetProfile(), "the name of a profile")
		}
		if r.GetIdempotent() && r.GetRequireIdempotencyKey() {
			v.add(paths[i]+".require_idempotency_key", true, "false for an idempotent route")
		}
		v.checkKeySources(paths[i]+".key_headers", r.GetKeyHeaders())
		v.checkKeySources(paths[i]+".key_query_params", r.GetKeyQueryParams())
		v.checkKeySources(paths[i]+".key_cookies", r.GetKeyCookies())
	}
}

func (v *validator) checkRouteTarget(path string, r *statev1.Route) {
	switch r.GetKind() {
	case statev1.RouteKind_ROUTE_KIND_MODEL:
		if v.models[r.GetModel()] == nil {
			v.add(path+".model", r.GetModel(), "the name of a model")
		}
		if r.GetPool() != "" {
			v.add(path+".pool", r.GetPool(), "empty for a model route")
		}
	case statev1.RouteKind_ROUTE_KIND_SERVICE:
		if !v.pools[r.GetPool()] {
			v.add(path+".pool", r.GetPool(), "the pool of a service endpoint")
		}
		if r.GetModel() != "" {
			v.add(path+".model", r.GetModel(), "empty for a service route")
		}
		if r.GetPathPrefix() == "" {
			v.add(path+".path_prefix", "", "a path prefix for a service route")
		}
	default:
		v.add(path+".kind", r.GetKind(), "ROUTE_KIND_MODEL or ROUTE_KIND_SERVICE")
	}
}

func (v *validator) checkPrefix(path string, r *statev1.Route, seen map[string]string) {
	prefix := r.GetPathPrefix()
	if prefix == "" {
		return
	}
	field := path + ".path_prefix"
	if !validPrefix(prefix) {
		v.add(field, prefix, fmt.Sprintf("up to %d characters, starting with '/', of plain path segments without '.', '..' or empty ones", maxPathLength))
		return
	}
	clean := cleanPrefix(prefix)
	if other := seen[clean]; other != "" {
		v.add(field, prefix, "a prefix that no other route has; "+other+" has it")
	}
	seen[clean] = path
	for _, reserved := range ReservedPaths() {
		if hasPathPrefix(reserved, clean) || hasPathPrefix(clean, reserved) {
			v.add(field, prefix, "a prefix that does not overlap the reserved path "+reserved)
		}
	}
}

// cleanPrefix removes the optional final slash.
func cleanPrefix(prefix string) string {
	return strings.TrimSuffix(prefix, "/")
}

// hasPathPrefix reports whether path lies at or below prefix, by whole
// segments: /ab does not lie below /a.
func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

func validPrefix(prefix string) bool {
	if len(prefix) > maxPathLength || prefix[0] != '/' {
		return false
	}
	if prefix == "/" {
		return true
	}
	for segment := range strings.SplitSeq(cleanPrefix(prefix)[1:], "/") {
		if segment == "" || segment == "." || segment == ".." || !allUnreserved(segment) {
			return false
		}
	}
	return true
}

// checkKeySources checks the names of headers, query parameters or cookies that
// may hold a caller's key.
func (v *validator) checkKeySources(field string, list []string) {
	for _, s := range list {
		if s == "" || len(s) > maxNameLength || !allUnreserved(s) {
			v.add(field, s, "1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.' and '~'")
		}
	}
}

// allUnreserved reports whether s consists of the unreserved characters of URIs
// (RFC 3986, section 2.3).
func allUnreserved(s string) bool {
	for i := range len(s) {
		b := s[i]
		switch {
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		case b == '-', b == '_', b == '.', b == '~':
		default:
			return false
		}
	}
	return true
}
