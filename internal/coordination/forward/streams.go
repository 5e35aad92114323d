package forward

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// streamMemory is how long the software version that began a stream is known: longer
	// than a stream and its retries last. maxStreams bounds the number of streams.
	streamMemory = 60 * time.Second
	maxStreams   = 1 << 16
	// versionLag exceeds the time in which a list that a control VM has just confirmed
	// may still show the software version that an endpoint had before a restart.
	versionLag = 5 * time.Second
)

// StreamRegister knows at which software versions the streams began that this entry has
// relayed lately. It does no I/O and reads no clock.
type StreamRegister struct {
	byKey map[uint64]*begunStream
	// order holds the streams by the time of their begin, the oldest first.
	order []*begunStream
}

// begunStream is a stream whose first event was passed on to its caller.
type begunStream struct {
	key               uint64 // zero if its attempt has no identifier
	service, endpoint string
	// version is the software version of the endpoint; empty if it cannot be told.
	version string
	at      time.Duration
	// ambiguous is set if attempts with the same identifier began at several versions.
	ambiguous bool
}

// NewStreamRegister returns a register without streams.
func NewStreamRegister() *StreamRegister {
	return &StreamRegister{byKey: map[uint64]*begunStream{}}
}

// streamKey identifies the stream that an attempt began, at all entries and at the
// leader. It is zero without an identifier of the attempt.
func streamKey(service, attempt string) uint64 {
	if attempt == "" {
		return 0
	}
	return cmp.Or(xxhash.Sum64String(service+"\x00"+attempt), 1)
}

// Began records that the first event of a stream was passed on, from an endpoint with a
// software version, which is empty if it cannot be told.
func (r *StreamRegister) Began(now time.Duration, key uint64, service, endpoint, version string) *begunStream {
	r.expire(now)
	b := &begunStream{key: key, service: service, endpoint: endpoint, version: version, at: now}
	r.order = append(r.order, b)
	if key == 0 {
		return b
	}
	if old := r.byKey[key]; old != nil {
		b.ambiguous = old.ambiguous || old.version != version
	}
	r.byKey[key] = b
	return b
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

// Version returns the software version at which a stream began; empty if it cannot be
// told. found is false if this entry does not know the stream.
func (r *StreamRegister) Version(now time.Duration, key uint64) (version string, found bool) {
	b := r.byKey[key]
	if b == nil || now-b.at > streamMemory {
		return "", false
	}
	return b.known(), true
}

// known returns the software version of the stream with the identifier; empty if it
// cannot be told.
func (b *begunStream) known() string {
	if b.ambiguous {
		return ""
	}
	return b.version
}

// SetEndpoints applies a new list of endpoints: version returns the software version of
// an endpoint. The list before was current at the time confirmed. It returns how many
// streams began since then, or
// shortly before, at an endpoint that has another version by the new list: which of the
// two began them is unknown.
func (r *StreamRegister) SetEndpoints(confirmed time.Duration, version func(endpoint string) string) (doubtful int) {
	for i := len(r.order) - 1; i >= 0 && r.order[i].at >= confirmed-versionLag; i-- {
		b := r.order[i]
		if v := version(b.endpoint); b.version != "" && v != "" && v != b.version {
			r.doubt(b)
			doubtful++
		}
	}
	return doubtful
}

// doubt records that the software version that began a stream is unknown.
func (r *StreamRegister) doubt(b *begunStream) {
	b.version = ""
	if latest := r.byKey[b.key]; latest != nil {
		latest.version = ""
	}
}
