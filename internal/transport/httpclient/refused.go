package httpclient

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRefused bounds the refused requests that a connection remembers. A connection that
// refused more is not reused.
const maxRefused = 64

// refusedRequests has the keys of requests that were refused on a connection. An equal key
// of another request only costs a new connection.
type refusedRequests []uint64

// refusedKey returns the key of the request with an ID, and zero if it has none.
func refusedKey(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

// add records the outcome of a request.
func (r *refusedRequests) add(id string, status int) {
	if id == "" || status < http.StatusBadRequest {
		return
	}
	*r = append(*r, refusedKey(id))
}

func (r refusedRequests) has(key uint64) bool { return slices.Contains(r, key) }

func (r refusedRequests) full() bool { return len(r) >= maxRefused }
