package inference

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// firstBufferBytes is what a body reserves before any byte of it has arrived.
// The reservation doubles as bytes arrive, so that a slow sender with a large
// Content-Length holds little of the budget.
const firstBufferBytes = 16 << 10

// Budget bounds the memory of all request bodies together.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// readBody reads a whole body. The release function gives its memory back and
// is never nil.
func (h *Handler) readBody(r *http.Request, limit int64) ([]byte, func(), error) {
	reserved := int64(0)
	release := func() { h.budget.used.Add(-reserved) }
	if r.ContentLength > limit {
		return nil, release, tooLarge(limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, release, nil
	}
	size := min(limit, firstBufferBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	var buf []byte
	for {
		if !h.budget.reserve(size + 1) {
			return nil, release, resultcode.New(resultcode.VMOverloaded, "the memory for request bodies is used up")
		}
		reserved += size + 1
		grown := make([]byte, len(buf), reserved)
		copy(grown, buf)
		done := false
		var err error
		buf, done, err = fill(r.Body, grown)
		if err != nil {
			return nil, release, bodyError(err, limit)
		}
		if int64(len(buf)) > limit {
			return nil, release, tooLarge(limit)
		}
		if done {
			return buf, release, nil
		}
		size = min(reserved, limit+1-reserved)
		if size < 0 {
			return nil, release, tooLarge(limit)
		}
	}
}

// fill reads until the buffer is full or the body ends.
func fill(r io.Reader, buf []byte) ([]byte, bool, error) {
	for len(buf) < cap(buf) {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buf, false, nil
}

func tooLarge(limit int64) error {
	return resultcode.New(resultcode.BodyTooLarge, "the body has more than %d bytes", limit)
}

func bodyError(err error, limit int64) error {
	var coded *resultcode.Error
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &coded):
		return coded
	case errors.As(err, &large):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return resultcode.Wrap(resultcode.RequestTooSlow, err, "the body took too long to arrive")
	default:
		return resultcode.Wrap(resultcode.BadRequest, err, "the body ended early")
	}
}
