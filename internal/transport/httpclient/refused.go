package httpclient

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRefused bounds the refused requests that a connection remembers. A connection that
// refused more is not reused.
const maxRefused = 64

// refusedRequests has hashes of the IDs of requests that were refused on a connection. An
// equal hash of another ID only costs a new connection.
type refusedRequests []uint64

// add records the outcome of a request.
func (r *refusedRequests) add(id string, status int) {
	if id == "" || status < http.StatusBadRequest {
		return
	}
	*r = append(*r, xxhash.Sum64String(id))
}

func (r refusedRequests) has(id string) bool {
	return id != "" && len(r) > 0 && slices.Contains(r, xxhash.Sum64String(id))
}

func (r refusedRequests) full() bool { return len(r) >= maxRefused }
