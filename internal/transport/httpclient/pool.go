package httpclient

import (
	"sync"
	"time"
)

// pool holds the unused connections to one address.
type pool struct {
	opts       Options
	framing    map[string]bool // see framingFields
	keepSilent bool
	reuseAny   bool

	mu sync.Mutex
	// generation increases when a connection goes silent. Connections of an
	// older generation are not reused.
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

// get returns the most recently used connection that may be reused, or nil.
func (p *pool) get() *conn {
	for {
		cn := p.pop()
		if cn == nil {
			return nil
		}
		if p.reuseAny || (!p.expired(cn) && cn.usable()) {
			return cn
		}
		cn.close()
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	cn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return cn
}

func (p *pool) expired(cn *conn) bool {
	unused := time.Since(cn.idleSince)
	if cn.idleLimit > 0 {
		// A request must not meet the endpoint's own close, so a quarter of its
		// limit is left.
		return unused > cn.idleLimit*3/4
	}
	return unused > p.opts.IdleConnTimeout
}

// put keeps a connection for reuse, or closes it.
func (p *pool) put(cn *conn) {
	cn.rest()
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

// armReaper schedules the closing of connections that stay unused. Callers
// hold mu.
func (p *pool) armReaper() {
	if p.reaper == nil {
		p.reaper = time.AfterFunc(p.opts.IdleConnTimeout, p.reap)
	}
}

// reap closes connections that are too old to be reused.
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

// silent records that a connection went silent: the others that were opened
// before it was noticed may be silent as well and are not used again.
func (p *pool) silent() {
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

func (p *pool) dropIdle() {
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
	p.dropIdle()
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.close()
	}
}
