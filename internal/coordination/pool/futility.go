package pool

import (
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// futility is the decision to refuse a request because waiting longer cannot help.
type futility struct {
	code  resultcode.Code
	after time.Duration
	// late is set if the request can no longer be on time, under overload.
	late bool
}

// futility decides whether waiting longer cannot help a request. It changes no state
// besides budgets, which grow with time.
func (b *Broker) futility(key modelKey, w *Waiter) (f futility, futile bool) {
	readyAt := b.readyAt[versionedModel{key, w.Query.SoftwareVersion}]
	switch {
	case w.reason <= NoModel && b.table.ServiceEvacuated(b.now, w.Query.Service):
		return futility{code: resultcode.NoEndpoint, after: b.overloadRetryAfter()}, true
	case w.UnservedVersion(b.now, b.table):
		return futility{code: resultcode.NoEndpoint}, true
	case w.reason == NoModel && readyAt == never:
		return futility{code: resultcode.NoEndpoint}, true
	case w.reason == NoModel && readyAt > w.Deadline:
		return futility{code: resultcode.ModelLoading, after: readyAt - b.now}, true
	case w.reason == NoEndpoints && len(w.Query.Exclude) > 0 && w.Query.SoftwareVersion == "":
		return futility{code: resultcode.NoEndpoint}, true
	case b.now >= w.Deadline:
		return futility{code: resultcode.DeadlineTooClose, after: b.deadlineRetryAfter(key, w)}, true
	case w.reason == Limited && b.table.AvailableAt(b.now, w.Query) > w.Deadline:
		return futility{code: resultcode.EndpointLimited, after: b.limitedRetryAfter(w.Query)}, true
	case w.reason >= Limited && b.now > w.Target && b.overloaded(key):
		return futility{code: resultcode.DeadlineTooClose, after: b.overloadRetryAfter(), late: true}, true
	default:
		return futility{}, false
	}
}

// limitedRetryAfter returns the retry-after time of a request that no endpoint takes
// before its wait ends, by what the endpoints state.
func (b *Broker) limitedRetryAfter(q *Query) time.Duration {
	if at := b.table.AvailableAt(b.now, q); at != never {
		return at - b.now
	}
	return b.overloadRetryAfter()
}
