package inference

import (
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const headerAuthorization = "Authorization"

// minKeyMatchBytes is the length of the shortest key that is searched for in
// other headers and parameters. A shorter value is not a key and could match
// unrelated text.
const minKeyMatchBytes = 8

// requireKey returns the key from one of the key sources of the route. It is
// empty only on open routes.
func requireKey(route *statev1.Route, r *http.Request) (string, error) {
	key := findKey(route, r)
	if key == "" && !route.GetOpen() {
		return "", resultcode.New(resultcode.KeyMissing, "route %q needs a key", route.GetName())
	}
	return key, nil
}

// findKey returns the first key in the request, or "".
func findKey(route *statev1.Route, r *http.Request) string {
	if keys := presentedKeys(route, r); len(keys) > 0 {
		return keys[0]
	}
	return ""
}

// presentedKeys returns the values of all key sources: Authorization first, then
// the headers, query parameters and cookies that the route names.
func presentedKeys(route *statev1.Route, r *http.Request) []string {
	var keys []string
	appendKey := func(key string) {
		if key != "" {
			keys = append(keys, key)
		}
	}
	appendKey(bearer(r.Header.Get(headerAuthorization)))
	for _, name := range route.GetKeyHeaders() {
		for _, value := range r.Header.Values(name) {
			appendKey(headerKey(value))
		}
	}
	if names := route.GetKeyQueryParams(); len(names) > 0 {
		forEachParam(r.URL.RawQuery, func(_, name, value string) {
			if containsFold(name, names) {
				appendKey(value)
			}
		})
	}
	if names := route.GetKeyCookies(); len(names) > 0 {
		forEachCookie(r.Header["Cookie"], func(_, name, value string) {
			if containsFold(name, names) {
				appendKey(value)
			}
		})
	}
	return keys
}

func bearer(value string) string {
	const scheme = "bearer "
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(value[len(scheme):])
}

// headerKey returns the key of a header value, with or without the Bearer
// scheme.
func headerKey(value string) string {
	if key := bearer(value); key != "" {
		return key
	}
	return strings.TrimSpace(value)
}

// forEachCookie calls f for each cookie with its raw text, name and value.
func forEachCookie(lines []string, f func(text, name, value string)) {
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ";") {
			part = strings.TrimSpace(part)
			name, value, _ := strings.Cut(part, "=")
			if part != "" {
				f(part, strings.TrimSpace(name), strings.Trim(value, `" `))
			}
		}
	}
}

// containsFold reports whether names contains name, ignoring case. Otherwise an
// endpoint that ignores case could find a key that was not removed.
func containsFold(name string, names []string) bool {
	for _, n := range names {
		if strings.EqualFold(name, n) {
			return true
		}
	}
	return false
}

// forEachParam calls f for each parameter of a raw query. The text is raw and
// includes the separator. Semicolons separate parameters too, as some servers
// treat them so.
func forEachParam(raw string, f func(text, name, value string)) {
	for raw != "" {
		end := strings.IndexAny(raw, "&;")
		text := raw
		if end >= 0 {
			text = raw[:end+1]
		}
		raw = raw[len(text):]
		name, value, _ := strings.Cut(strings.TrimRight(text, "&;"), "=")
		f(text, unescape(name), unescape(value))
	}
}

func unescape(s string) string {
	if out, err := url.QueryUnescape(s); err == nil {
		return out
	}
	return s
}

// sanitize returns the header and the query to send to endpoints, without keys,
// hop-by-hop fields and the entry's own fields.
func (h *Handler) sanitize(r *http.Request, route *statev1.Route) (http.Header, string) {
	out := r.Header.Clone()
	exchange.RemoveHopByHop(out)
	for _, name := range []string{
		HeaderRoute, exchange.HeaderRequestID, exchange.HeaderRunState, exchange.HeaderPriority,
		resultcode.Header, "Content-Length", "Expect",
	} {
		out.Del(name)
	}
	// A Connection header that lists Idempotency-Key would have removed it. The
	// claim and the endpoint must use the same value.
	if k := r.Header.Get(exchange.HeaderIdempotencyKey); k != "" {
		out.Set(exchange.HeaderIdempotencyKey, k)
	}
	query := r.URL.RawQuery
	if h.faults.keepKeys {
		out.Del(headerAuthorization)
	} else {
		removeKeyHeaders(out, route)
		removeKeyCookies(out, route.GetKeyCookies())
		keys := append(presentedKeys(route, r), strings.Fields(r.Header.Get(headerAuthorization))...)
		keys = slices.DeleteFunc(keys, func(k string) bool { return len(k) < minKeyMatchBytes })
		query = removeKeyParams(query, route.GetKeyQueryParams(), keys)
		removeHeadersWithKeys(out, keys)
	}
	h.setForwardedHeaders(out, r)
	return out, query
}

func removeKeyHeaders(h http.Header, route *statev1.Route) {
	h.Del(headerAuthorization)
	for _, name := range route.GetKeyHeaders() {
		h.Del(name)
	}
}

func removeKeyCookies(h http.Header, names []string) {
	lines := h["Cookie"]
	if len(lines) == 0 || len(names) == 0 {
		return
	}
	var kept []string
	forEachCookie(lines, func(text, name, _ string) {
		if !containsFold(name, names) {
			kept = append(kept, text)
		}
	})
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// removeKeyParams removes the named parameters and any other parameter that
// contains a key. The rest stays byte for byte.
func removeKeyParams(raw string, names, keys []string) string {
	var out strings.Builder
	forEachParam(raw, func(text, name, value string) {
		if !containsFold(name, names) && !containsAny(value, keys) && !containsAny(name, keys) {
			out.WriteString(text)
		}
	})
	kept := out.String()
	if len(kept) < len(raw) {
		kept = strings.TrimRight(kept, "&;")
	}
	return kept
}

// removeHeadersWithKeys removes header fields that contain a key, such as a
// Referer with the caller's own URL.
func removeHeadersWithKeys(h http.Header, keys []string) {
	for name, values := range h {
		for _, v := range values {
			if containsAny(v, keys) {
				delete(h, name)
				break
			}
		}
	}
}

func containsAny(s string, keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(s, key) })
}

// setForwardedHeaders sets X-Forwarded-For, X-Forwarded-Host and
// X-Forwarded-Proto, and removes Forwarded.
func (h *Handler) setForwardedHeaders(out http.Header, r *http.Request) {
	const field = "X-Forwarded-For"
	peer, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		peer = r.RemoteAddr
	}
	if previous := out.Values(field); h.opts.TrustForwardedFor && len(previous) > 0 {
		peer = strings.Join(previous, ", ") + ", " + peer
	}
	out.Del("Forwarded")
	out.Set(field, peer)
	out.Set("X-Forwarded-Host", r.Host)
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	if !h.opts.TrustForwardedFor || out.Get("X-Forwarded-Proto") == "" {
		out.Set("X-Forwarded-Proto", proto)
	}
}
