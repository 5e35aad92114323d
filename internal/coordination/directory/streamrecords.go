package directory

import (
	"time"
	"unique"
)

// maxStreamRecords bounds the recorded streams: the target size begins 156,000 of them in
// streamMemory. Beyond it, those that were reported first are forgotten.
const maxStreamRecords = 1 << 18

// streamRecords holds the services and software versions at which streams began.
type streamRecords struct {
	byStream map[uint64]streamRecord
	// queue has the records in the order of their reports. An element whose time differs
	// from that of the record has been replaced.
	queue []queuedStream
}

// streamRecord is what began a stream; unknown if its version is empty.
type streamRecord struct {
	origin  unique.Handle[ServiceVersion]
	expires time.Duration
}

func (r streamRecord) unknown() bool { return r.origin.Value().Version == "" }

type queuedStream struct {
	stream  uint64
	expires time.Duration
}

func newStreamRecords() streamRecords {
	return streamRecords{byStream: map[uint64]streamRecord{}}
}

// record records what began a stream, age ago. An empty version, or another origin than
// that of an earlier report, makes it unknown.
func (r *streamRecords) record(now time.Duration, stream uint64, origin ServiceVersion, age time.Duration) {
	if origin.Version == "" {
		origin, age = ServiceVersion{}, 0
	}
	next := streamRecord{origin: unique.Make(origin), expires: now - age + streamMemory}
	if stream == 0 || next.expires <= now {
		return
	}
	if old, known := r.byStream[stream]; known && now < old.expires {
		if old.origin == next.origin || old.unknown() {
			return
		}
		next = streamRecord{origin: unique.Make(ServiceVersion{}), expires: now + streamMemory}
	}
	r.byStream[stream] = next
	r.queue = append(r.queue, queuedStream{stream, next.expires})
	r.prune(now)
}

// prune forgets the records that have expired or are too many, from the first reported
// on, and returns the number of those that remain.
func (r *streamRecords) prune(now time.Duration) int {
	for len(r.queue) > 0 {
		first := r.queue[0]
		if r.byStream[first.stream].expires == first.expires {
			if now < first.expires && len(r.byStream) <= maxStreamRecords {
				break
			}
			delete(r.byStream, first.stream)
		}
		r.queue = r.queue[1:]
	}
	return len(r.byStream)
}

// find returns what began a stream, without a version if that is unknown. known is false
// if the stream has no record.
func (r *streamRecords) find(now time.Duration, stream uint64) (origin ServiceVersion, known bool) {
	found, known := r.byStream[stream]
	if !known || found.expires <= now {
		return ServiceVersion{}, false
	}
	return found.origin.Value(), true
}
