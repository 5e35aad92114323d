package fleet

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// maxRequests is the number of request identifiers whose results are kept.
const maxRequests = 10_000

// requests keeps the result of the first command with each request identifier, so
// that a retried command is not executed twice. When it is full, the oldest
// identifier is evicted.
type requests struct {
	results map[string]*statev1.Result
	order   []string // ring buffer of identifiers
	next    int      // position of the oldest once the ring is full
}

func newRequests() requests {
	return requests{results: map[string]*statev1.Result{}}
}

func (r *requests) find(id string) *statev1.Result {
	if id == "" {
		return nil
	}
	return r.results[id]
}

func (r *requests) add(id string, result *statev1.Result) {
	if id == "" || r.results[id] != nil {
		return
	}
	r.results[id] = result
	if len(r.order) < maxRequests {
		r.order = append(r.order, id)
		return
	}
	delete(r.results, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % maxRequests
}

func (r *requests) save() (ids []string, results []*statev1.Result) {
	for i := range r.order {
		id := r.order[(r.next+i)%len(r.order)]
		ids = append(ids, id)
		results = append(results, r.results[id])
	}
	return ids, results
}

func (r *requests) load(ids []string, results []*statev1.Result) {
	*r = newRequests()
	for i, id := range ids {
		r.add(id, results[i])
	}
}
