package forward

import (
	"cmp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const (
	// streamMemory is how long the software version that began a stream is known: longer
	// than a stream and its retries last. maxStreams bounds the number of streams.
	streamMemory = 60 * time.Second
	maxStreams   = 1 << 16
	// versionLag exceeds the time in which a list that a control VM has just confirmed
	// may still show the software version that an endpoint had before a restart.
	versionLag = 5 * time.Second
	// maxBegunPerReport bounds the streams of one report to the leader.
	maxBegunPerReport = 4096
)

// streamOrigin is where a stream began; unknown if its version is empty.
type streamOrigin struct{ service, version string }

// StreamRegister knows at which services and software versions the streams began that this
// entry has relayed lately, and which of them the leader has to be told. It does no I/O
// and reads no clock.
type StreamRegister struct {
	byKey map[uint64]*begunStream
	// order holds the streams by the time of their begin, the oldest first.
	order []*begunStream
	// differ is the set of services with endpoints of several software versions, whose
	// streams are reported.
	differ map[string]bool
	// unreported are the streams that wait to be reported. ready has an element while
	// there are any.
	unreported []*begunStream
	ready      chan struct{}
	// term is the latest term of a leader that this entry has heard of; zero before.
	term uint64
}

// begunStream is a stream whose first event was passed on to its caller.
type begunStream struct {
	key      uint64 // zero if its attempt has no identifier
	endpoint string
	// origin has the service and the software version of the endpoint.
	origin streamOrigin
	at     time.Duration
	// ambiguous is set if attempts with the same identifier have several origins.
	ambiguous bool
	// serviceUnclear is set if another entry cannot tell the service by the path of the
	// stream. The leader is told then, whichever versions the service has.
	serviceUnclear bool
	// reported is set once the stream has been sent to the leader, queued while it waits
	// for that.
	reported, queued bool
}

// NewStreamRegister returns a register without streams.
func NewStreamRegister() *StreamRegister {
	return &StreamRegister{byKey: map[uint64]*begunStream{}, differ: map[string]bool{}, ready: make(chan struct{}, 1)}
}

// streamKey identifies the stream that an attempt began at a host, at all entries and at
// the leader. It is zero without an identifier of the attempt.
func streamKey(host, attempt string) uint64 {
	if attempt == "" {
		return 0
	}
	return cmp.Or(xxhash.Sum64String(strings.ToLower(host)+"\x00"+attempt), 1)
}

// Began records that the first event of a stream was passed on, from an endpoint of its
// origin. serviceUnclear is set if other entries cannot tell the service by the path.
func (r *StreamRegister) Began(now time.Duration, key uint64, origin streamOrigin, endpoint string, serviceUnclear bool) *begunStream {
	r.expire(now)
	b := &begunStream{key: key, endpoint: endpoint, origin: origin, at: now, serviceUnclear: serviceUnclear}
	r.order = append(r.order, b)
	if key == 0 {
		return b
	}
	if old := r.byKey[key]; old != nil {
		b.ambiguous = old.ambiguous || old.origin != origin
	}
	r.byKey[key] = b
	if r.mustReport(b) {
		r.report(b)
	}
	return b
}

// mustReport reports whether other entries need the leader to know where a stream began.
func (r *StreamRegister) mustReport(b *begunStream) bool {
	return b.serviceUnclear || r.differ[b.origin.service]
}

// RoutesChanged records that a catalog has changed the routes with resumable streams:
// other entries may no longer be able to tell the service of a stream by its path.
func (r *StreamRegister) RoutesChanged() {
	for _, b := range r.order {
		b.serviceUnclear = true
	}
	r.reportAll()
}

// expire forgets streams that began too long ago, and the oldest if there are too many.
func (r *StreamRegister) expire(now time.Duration) {
	for len(r.order) >= maxStreams || len(r.order) > 0 && now-r.order[0].at > streamMemory {
		if oldest := r.order[0]; r.byKey[oldest.key] == oldest {
			delete(r.byKey, oldest.key)
		}
		r.order[0], r.order = nil, r.order[1:]
	}
}

// Origin returns where a stream began. found is false if this entry does not know the
// stream.
func (r *StreamRegister) Origin(now time.Duration, key uint64) (origin streamOrigin, found bool) {
	b := r.byKey[key]
	if b == nil || now-b.at > streamMemory {
		return streamOrigin{}, false
	}
	return b.known(), true
}

// known returns the origin of the stream with the identifier.
func (b *begunStream) known() streamOrigin {
	if b.ambiguous {
		return streamOrigin{}
	}
	return b.origin
}

// SetEndpoints applies a new list of endpoints: version returns the software version of
// an endpoint, and differ has the services whose endpoints have several. The list before
// was current at the time confirmed. It returns how many streams began since then, or
// shortly before, at an endpoint that has another version by the new list: which of the
// two began them is unknown.
func (r *StreamRegister) SetEndpoints(confirmed time.Duration, version func(endpoint string) string, differ map[string]bool) (doubtful int) {
	newlyDiffer := false
	for service := range differ {
		newlyDiffer = newlyDiffer || !r.differ[service]
	}
	r.differ = differ
	if newlyDiffer {
		r.reportAll()
	}
	for i := len(r.order) - 1; i >= 0 && r.order[i].at >= confirmed-versionLag; i-- {
		b := r.order[i]
		if v := version(b.endpoint); b.origin.version != "" && v != "" && v != b.origin.version {
			r.doubt(b)
			doubtful++
		}
	}
	return doubtful
}

// reportAll queues the streams that the leader has to be told and that were not reported
// yet.
func (r *StreamRegister) reportAll() {
	for _, b := range r.order {
		if r.byKey[b.key] == b && !b.reported && r.mustReport(b) {
			r.report(b)
		}
	}
}

// doubt records that the software version that began a stream is unknown.
func (r *StreamRegister) doubt(b *begunStream) {
	b.origin.version = ""
	latest := r.byKey[b.key]
	if latest == nil {
		return
	}
	latest.origin.version, latest.reported = "", false
	if r.mustReport(latest) {
		r.report(latest)
	}
}

// report queues a stream for the next report.
func (r *StreamRegister) report(b *begunStream) {
	if b.queued {
		return
	}
	b.queued = true
	r.unreported = append(r.unreported, b)
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// TakeUnreported returns the streams of the next report, oldest first. If
// it fails, NotReported must be called with them.
func (r *StreamRegister) TakeUnreported(now time.Duration) []*begunStream {
	waiting := r.unreported
	r.unreported = nil
	var batch []*begunStream
	for _, b := range waiting {
		b.queued = false
		switch {
		case now-b.at > streamMemory || !r.mustReport(b):
			b.reported = false
		case len(batch) < maxBegunPerReport:
			b.reported = true
			batch = append(batch, b)
		default:
			r.report(b)
		}
	}
	return batch
}

// NotReported queues the streams of a report that failed again.
func (r *StreamRegister) NotReported(batch []*begunStream) {
	for _, b := range batch {
		r.report(b)
	}
}

// Answered records that the leader of a term was heard of. A leader of a later term has no
// record of the streams that were reported before. It returns false if a later leader is
// known: what the one of this term was told, the later one does not know.
func (r *StreamRegister) Answered(term uint64) bool {
	if term <= r.term {
		return term == r.term
	}
	r.term = term
	for _, b := range r.order {
		b.reported = false
	}
	r.reportAll()
	return true
}

// ForgetLeader makes the register take any term for a new one: the control VMs were
// founded anew.
func (r *StreamRegister) ForgetLeader() { r.term = 0 }

// encodeBegun returns the message for streams.
func encodeBegun(now time.Duration, batch []*begunStream) []*peerv1.BegunStream {
	out := make([]*peerv1.BegunStream, 0, len(batch))
	for _, b := range batch {
		origin := b.known()
		out = append(out, &peerv1.BegunStream{
			Stream: b.key, Service: origin.service, SoftwareVersion: origin.version, AgeMs: uint32((now - b.at).Milliseconds()),
		})
	}
	return out
}
