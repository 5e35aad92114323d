package httpserver

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Reasons for closing connections, which are label values.
const (
	closedBlankLines = "blank_lines"
	closedHeadBounds = "head_bounds"
	closedMemory     = "memory"
	closedIdleLimit  = "idle_at_limit"
	closedAtLimit    = "connection_limit"
)

// CloseReasons lists the values that Metrics.ConnectionClosed gets.
func CloseReasons() []string {
	return []string{closedBlankLines, closedHeadBounds, closedMemory, closedIdleLimit, closedAtLimit}
}

// headCloseReason returns the reason for closing a connection whose head is refused.
func headCloseReason(code resultcode.Code) string {
	switch code {
	case resultcode.BadRequest:
		return closedBlankLines
	case resultcode.HeadersTooLarge:
		return closedHeadBounds
	}
	return closedMemory
}

// connSourceShare is the part of the connections that one source may keep at the limit
// if there are other sources, as a divisor.
const connSourceShare = 2

// connTable holds the open connections: how many each source has, and those without a
// request in the order in which they became idle.
type connTable struct {
	mu      sync.Mutex
	sources map[string]int
	waiting list.List // of *countedConn, the longest idle first
}

// add counts a new connection, which has no request yet.
func (t *connTable) add(c *countedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sources == nil {
		t.sources = map[string]int{}
	}
	t.sources[c.source]++
	c.waiting = t.waiting.PushBack(c)
}

// remove is called once when a connection is closed.
func (t *connTable) remove(c *countedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeLocked(c)
	if t.sources[c.source]--; t.sources[c.source] <= 0 {
		delete(t.sources, c.source)
	}
	c.removed = true
}

// busy is called with the first byte of a head.
func (t *connTable) busy(c *countedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeLocked(c)
}

// idle is called at the end of a response.
func (t *connTable) idle(c *countedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.waiting == nil && !c.removed {
		c.waiting = t.waiting.PushBack(c)
	}
}

func (t *connTable) takeLocked(c *countedConn) {
	if c.waiting != nil {
		t.waiting.Remove(c.waiting)
		c.waiting = nil
	}
}

// evict selects the connection that is closed for a new one of source, and no longer
// treats it as idle: the longest idle one of a source above its share, else the longest
// idle one. It returns nil if there is none.
func (t *connTable) evict(source string, limit int64) *countedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	greedy := t.greedyLocked(limit)
	if c := t.firstLocked(greedy); c != nil {
		return c
	}
	if source == greedy {
		return nil // a source above its share displaces no others
	}
	return t.firstLocked("")
}

// greedyLocked returns the source above its share, or "".
func (t *connTable) greedyLocked(limit int64) string {
	if len(t.sources) < 2 {
		return "" // no other source has a connection
	}
	for source, n := range t.sources {
		if int64(n) > limit/connSourceShare {
			return source
		}
	}
	return ""
}

// firstLocked takes the longest idle connection of a source, or of any if source is "".
func (t *connTable) firstLocked(source string) *countedConn {
	for e := t.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*countedConn)
		if source == "" || c.source == source {
			t.takeLocked(c)
			return c
		}
	}
	return nil
}

// makeRoom closes an idle connection in favour of one of source. It returns false if
// there is none.
func (l *limitListener) makeRoom(source string) bool {
	for {
		c := l.conns.evict(source, l.limit)
		if c == nil {
			return false
		}
		if !c.state.refuse() {
			continue // a request has begun, or the server stops
		}
		l.observeClosed(closedIdleLimit)
		c.forget()
		l.closeIdle(c)
		return true
	}
}

// closeIdle tells the caller that a request on its way does not run, and closes the
// connection later, so that this request does not reset it.
func (l *limitListener) closeIdle(c *countedConn) {
	half, ok := c.Conn.(halfCloser)
	if !ok || !c.takesRefusal() {
		_ = c.Conn.Close()
		return
	}
	sendClosing(half, l.closing)
	l.evicted.add(half, int(l.refusals()))
}

// evictions holds the connections that were refused in favour of others and are still
// half open.
type evictions struct {
	mu   sync.Mutex
	open []halfCloser // the oldest first
}

// add keeps c for idleLinger, or until limit others have been added.
func (e *evictions) add(c halfCloser, limit int) {
	e.mu.Lock()
	e.open = append(e.open, c)
	var oldest halfCloser
	if len(e.open) > limit {
		oldest = e.open[0]
		e.open = slices.Delete(e.open, 0, 1)
	}
	e.mu.Unlock()
	time.AfterFunc(idleLinger, func() { e.end(c) })
	if oldest != nil {
		_ = oldest.Close() // it has been refused
	}
}

func (e *evictions) end(c halfCloser) {
	e.mu.Lock()
	i := slices.Index(e.open, c)
	if i >= 0 {
		e.open = slices.Delete(e.open, i, i+1)
	}
	e.mu.Unlock()
	if i >= 0 {
		_ = c.Close() // it has been refused
	}
}

// observe counts a refusal and the connection that it closes.
func (l *limitListener) observe(code resultcode.Code, reason string) {
	if l.metrics != nil {
		l.metrics.Refusal(code)
		l.metrics.ConnectionClosed(reason)
	}
}

func (l *limitListener) observeClosed(reason string) {
	if l.metrics != nil {
		l.metrics.ConnectionClosed(reason)
	}
}
