package inference

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// initialBufferBytes is reserved for a body before its first byte arrives. The
// reservation doubles as bytes arrive, so a slow sender that announces a large
// Content-Length holds little of the budget.
const initialBufferBytes = 16 << 10

// Budget bounds the total memory of all request bodies.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// readBody reads a whole body. The returned function releases its memory and is
// never nil.
func (h *Handler) readBody(r *http.Request, limit int64) ([]byte, func(), error) {
	reserved := int64(0)
	release := func() { h.budget.used.Add(-reserved) }
	if r.ContentLength > limit {
		return nil, release, bodyTooLarge(limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, release, nil
	}
	size := min(limit, initialBufferBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	var buf []byte
	for {
		if !h.budget.reserve(size + 1) {
			return nil, release, resultcode.New(resultcode.VMOverloaded, "the memory budget for request bodies is exhausted")
		}
		reserved += size + 1
		newBuf := make([]byte, len(buf), reserved)
		copy(newBuf, buf)
		done := false
		var err error
		buf, done, err = fill(r.Body, newBuf)
		if err != nil {
			return nil, release, bodyReadError(err, limit)
		}
		if int64(len(buf)) > limit {
			return nil, release, bodyTooLarge(limit)
		}
		if done {
			return buf, release, nil
		}
		size = min(reserved, limit+1-reserved)
		if size < 0 {
			return nil, release, bodyTooLarge(limit)
		}
	}
}

// fill reads into the free capacity of buf until it is full or the body ends.
// The boolean result reports whether the body ended.
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

func bodyTooLarge(limit int64) error {
	return resultcode.New(resultcode.BodyTooLarge, "the request body exceeds %d bytes", limit)
}

func bodyReadError(err error, limit int64) error {
	var coded *resultcode.Error
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &coded):
		return coded
	case errors.As(err, &large):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return resultcode.Wrap(resultcode.RequestTooSlow, err, "timed out reading the request body")
	default:
		return resultcode.Wrap(resultcode.BadRequest, err, "failed to read the request body to its end")
	}
}
