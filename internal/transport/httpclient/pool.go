package httpclient

import (
	"slices"
	"sync"
	"time"
)

// pool holds the idle connections to one address.
type pool struct {
	opts       Options
	framing    map[string]bool // see framingFields
	keepSilent bool
	reuseAny   bool

	mu sync.Mutex
	// generation is incremented by invalidate. Connections of an older generation
	// are not reused.
	generation uint64
	idle       []*conn // oldest first
	reaper     *time.Timer
	closed     bool
}

func (p *pool) currentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// get returns the most recently used connection that may be reused for a request, or nil.
func (p *pool) get(id string) *conn {
	key := refusedKey(id)
	for {
		cn := p.pop(key)
		if cn == nil {
			return nil
		}
		if p.reuseAny || (!p.expired(cn) && cn.reusable()) {
			return cn
		}
		cn.close()
	}
}

// pop removes the most recently used connection over which the request with the key was not
// refused.
func (p *pool) pop(key uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, cn := range slices.Backward(p.idle) {
		if p.reuseAny || !cn.refused.has(key) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

func (p *pool) expired(cn *conn) bool {
	unused := time.Since(cn.idleSince)
	if cn.idleLimit > 0 {
		// The margin of a quarter keeps requests from being sent while the endpoint
		// closes the connection.
		return unused > cn.idleLimit*3/4
	}
	return unused > p.opts.IdleConnTimeout
}

// put returns a connection to the pool, or closes it if it must not be reused.
func (p *pool) put(cn *conn) {
	cn.markIdle()
	p.mu.Lock()
	keep := !p.closed && cn.generation == p.generation && len(p.idle) < p.opts.MaxIdlePerEndpoint
	if keep {
		p.idle = append(p.idle, cn)
		p.armReaper()
	}
	p.mu.Unlock()
	if !keep {
		cn.close()
	}
}

// armReaper schedules reap. The caller holds mu.
func (p *pool) armReaper() {
	if p.reaper == nil {
		p.reaper = time.AfterFunc(p.opts.IdleConnTimeout, p.reap)
	}
}

// reap closes the idle connections that have expired.
func (p *pool) reap() {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.expired(p.idle[n]) {
		n++
	}
	old := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.reaper = nil
	if len(p.idle) > 0 {
		p.armReaper()
	}
	p.mu.Unlock()
	closeAll(old)
}

// invalidate closes the idle connections and prevents the reuse of those that
// are in use. It is called after a time-out on one connection, because those
// opened before may be dead as well, and after a mismatched response.
func (p *pool) invalidate() {
	if p.keepSilent {
		return
	}
	p.mu.Lock()
	p.generation++
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(old)
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(old)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.close()
	}
}
