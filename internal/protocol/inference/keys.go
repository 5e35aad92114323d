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

// minCopyBytes is the shortest key of which copies are looked for. A shorter
// text in a key source is no key, and could occur anywhere.
const minCopyBytes = 8

// requireKey returns the key that a request shows in one of its route's
// sources. It is empty only on open routes.
func requireKey(route *statev1.Route, r *http.Request) (string, error) {
	key := findKey(route, r)
	if key == "" && !route.GetOpen() {
		return "", resultcode.New(resultcode.KeyMissing, "route %q needs a key", route.GetName())
	}
	return key, nil
}

// findKey returns the first key that is shown.
func findKey(route *statev1.Route, r *http.Request) string {
	if keys := shownKeys(route, r); len(keys) > 0 {
		return keys[0]
	}
	return ""
}

// shownKeys returns what the key sources hold: Authorization first, then the
// sources that the route names (headers, query parameters, cookies).
func shownKeys(route *statev1.Route, r *http.Request) []string {
	var keys []string
	add := func(key string) {
		if key != "" {
			keys = append(keys, key)
		}
	}
	add(bearer(r.Header.Get(headerAuthorization)))
	for _, name := range route.GetKeyHeaders() {
		for _, value := range r.Header.Values(name) {
			add(headerKey(value))
		}
	}
	if names := route.GetKeyQueryParams(); len(names) > 0 {
		eachParam(r.URL.RawQuery, func(_, name, value string) {
			if nameIn(name, names) {
				add(value)
			}
		})
	}
	if names := route.GetKeyCookies(); len(names) > 0 {
		eachCookie(r.Header["Cookie"], func(_, name, value string) {
			if nameIn(name, names) {
				add(value)
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

// headerKey accepts a bare key and one with the Bearer scheme.
func headerKey(value string) string {
	if key := bearer(value); key != "" {
		return key
	}
	return strings.TrimSpace(value)
}

// eachCookie calls f for each cookie with its raw text.
func eachCookie(lines []string, f func(text, name, value string)) {
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

// nameIn compares without case: an endpoint that ignores case must not find a
// key that was left in place.
func nameIn(name string, names []string) bool {
	for _, n := range names {
		if strings.EqualFold(name, n) {
			return true
		}
	}
	return false
}

// eachParam calls f for each parameter of a raw query with its separator and
// raw text. Some servers separate parameters at semicolons too.
func eachParam(raw string, f func(text, name, value string)) {
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

// clean returns the header and the query that endpoints may see.
func (h *Handler) clean(r *http.Request, route *statev1.Route) (http.Header, string) {
	out := r.Header.Clone()
	exchange.RemoveHopByHop(out)
	for _, name := range []string{
		HeaderRoute, exchange.HeaderRequestID, exchange.HeaderRunState, exchange.HeaderPriority,
		resultcode.Header, "Content-Length", "Expect",
	} {
		out.Del(name)
	}
	// Connection may name this field; claims and endpoints must see the same.
	if k := r.Header.Get(exchange.HeaderIdempotencyKey); k != "" {
		out.Set(exchange.HeaderIdempotencyKey, k)
	}
	query := r.URL.RawQuery
	if h.faults.keepKeys {
		out.Del(headerAuthorization)
	} else {
		removeKeyHeaders(out, route)
		removeKeyCookies(out, route.GetKeyCookies())
		keys := append(shownKeys(route, r), strings.Fields(r.Header.Get(headerAuthorization))...)
		keys = slices.DeleteFunc(keys, func(k string) bool { return len(k) < minCopyBytes })
		query = removeKeyParams(query, route.GetKeyQueryParams(), keys)
		removeCopies(out, keys)
	}
	h.forwarded(out, r)
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
	eachCookie(lines, func(text, name, _ string) {
		if !nameIn(name, names) {
			kept = append(kept, text)
		}
	})
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// removeKeyParams removes the named parameters, and any other that repeats a
// key, and leaves the rest as it was sent.
func removeKeyParams(raw string, names, keys []string) string {
	var out strings.Builder
	eachParam(raw, func(text, name, value string) {
		if !nameIn(name, names) && !containsAny(value, keys) && !containsAny(name, keys) {
			out.WriteString(text)
		}
	})
	kept := out.String()
	if len(kept) < len(raw) {
		kept = strings.TrimRight(kept, "&;")
	}
	return kept
}

// removeCopies removes fields that repeat a key, such as a Referer with the
// caller's own URL.
func removeCopies(h http.Header, keys []string) {
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

// forwarded tells the endpoint where the request came from.
func (h *Handler) forwarded(out http.Header, r *http.Request) {
	const field = "X-Forwarded-For"
	peer, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		peer = r.RemoteAddr
	}
	if earlier := out.Values(field); h.opts.TrustForwardedFor && len(earlier) > 0 {
		peer = strings.Join(earlier, ", ") + ", " + peer
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
