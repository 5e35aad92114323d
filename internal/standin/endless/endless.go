// Package endless is a client for tests whose responses have bodies without end.
package endless

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
)

// Client answers each request with a body that begins with one text and repeats another
// one until it is closed. It is safe for concurrent use.
type Client struct {
	Header        http.Header
	Begin, Repeat string

	read, open, peak atomic.Int64
}

var _ exchange.Client = (*Client)(nil)

// Read returns how many bytes were read of all bodies.
func (c *Client) Read() int64 { return c.read.Load() }

// Peak returns how many bytes were read, at most, of the bodies that were open at the same
// time.
func (c *Client) Peak() int64 { return c.peak.Load() }

// Do implements exchange.Client.
func (c *Client) Do(context.Context, *exchange.Request) (*exchange.Response, error) {
	h := c.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	return &exchange.Response{Status: http.StatusOK, Header: h, ContentLength: -1, Body: &body{client: c, next: c.Begin}}, nil
}

// body has no end until it is closed.
type body struct {
	client *Client
	next   string
	read   int64
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	if b.next == "" {
		b.next = b.client.Repeat
	}
	n := copy(p, b.next)
	b.next = b.next[n:]
	b.read += int64(n)
	b.client.read.Add(int64(n))
	open := b.client.open.Add(int64(n))
	for peak := b.client.peak.Load(); open > peak && !b.client.peak.CompareAndSwap(peak, open); {
		peak = b.client.peak.Load()
	}
	return n, nil
}

func (b *body) close() {
	if !b.closed {
		b.client.open.Add(-b.read)
	}
	b.closed = true
}

// Close implements exchange.Body.
func (b *body) Close() error {
	b.close()
	return nil
}

// Finish implements exchange.Body.
func (b *body) Finish() { b.close() }

// Discard implements exchange.Body.
func (b *body) Discard() { b.close() }
