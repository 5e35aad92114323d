package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/virtualtime"
)

// pagedPlatform returns its list in pages, each after a delay. Every failEvery-th
// call fails.
type pagedPlatform struct {
	Platform
	pages, calls, failEvery int
	delay                   time.Duration
	more                    int // further endpoints on each page
}

func (p *pagedPlatform) ListPage(ctx context.Context, token string) (Page, error) {
	select {
	case <-time.After(p.delay):
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	p.calls++
	if p.calls%p.failEvery == 0 {
		return Page{}, errors.New("HTTP status 429")
	}
	n := 0
	if token != "" {
		n, _ = strconv.Atoi(token)
	}
	page := Page{Endpoints: []Endpoint{{ID: fmt.Sprintf("e%03d", n)}}}
	for i := range p.more {
		page.Endpoints = append(page.Endpoints, Endpoint{ID: fmt.Sprintf("e%03d-%d", n, i)})
	}
	if n+1 < p.pages {
		page.Next = strconv.Itoa(n + 1)
	}
	return page, nil
}

// Guards against a list of endpoints that is never complete: it was read within one
// time-out for all pages, and a page that failed discarded all others.
func TestLongListIsReadToItsEnd(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &pagedPlatform{pages: 60, delay: 100 * time.Millisecond, failEvery: 7}
		s := New(Config{Platform: p, Log: slog.New(slog.DiscardHandler)})
		list, err := s.readList(t.Context())
		if err != nil || len(list) != p.pages {
			t.Fatalf("%d of %d endpoints, error %v", len(list), p.pages, err)
		}
	})
}

// Guards against a list whose pages always name a next one.
func TestListWithoutEndFails(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &pagedPlatform{pages: 1 << 40, failEvery: 1 << 40}
		s := New(Config{Platform: p, Log: slog.New(slog.DiscardHandler)})
		if _, err := s.readList(t.Context()); err == nil || p.calls != maxListPages {
			t.Fatalf("error %v after %d pages", err, p.calls)
		}
	})
}

// Guards against a leader that keeps a list that grows without end until its memory does
// not suffice.
func TestListWithTooManyEndpointsFails(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &pagedPlatform{pages: 1 << 40, failEvery: 1 << 40, more: 999}
		s := New(Config{Platform: p, Log: slog.New(slog.DiscardHandler)})
		if list, err := s.readList(t.Context()); err == nil || p.calls != MaxListEndpoints/1000+1 {
			t.Fatalf("%d endpoints, error %v after %d pages", len(list), err, p.calls)
		}
	})
}

// Guards against a leader that reads a page again and again although the platform
// refuses it.
func TestFailedPageEndsTheList(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &pagedPlatform{pages: 3, failEvery: 1}
		s := New(Config{Platform: p, Log: slog.New(slog.DiscardHandler)})
		if _, err := s.readList(t.Context()); err == nil || p.calls != maxPageAttempts {
			t.Fatalf("error %v after %d calls, want an error after %d", err, p.calls, maxPageAttempts)
		}
	})
}

// restartingPlatform has one engine, which runs under another identifier since
// restartedAt. It is listed so a while later.
type restartingPlatform struct {
	Platform
	began       time.Time
	restartedAt time.Duration
	listedAfter time.Duration
	lists       atomic.Int64
}

func (p *restartingPlatform) ListPage(context.Context, string) (Page, error) {
	p.lists.Add(1)
	id := "before"
	if time.Since(p.began) >= p.restartedAt+p.listedAfter {
		id = "after"
	}
	return Page{Endpoints: []Endpoint{{ID: id, Service: "models", Address: "10.0.0.1:1"}}}, nil
}

func (p *restartingPlatform) Report(context.Context, Endpoint) (Report, error) {
	if time.Since(p.began) >= p.restartedAt {
		return Report{Started: 2}, nil
	}
	return Report{Started: 1}, nil
}

// Guards against engines that get no orders for a second or more after they have
// restarted, because the list with their new identifiers is read at its usual pace.
func TestListIsReadSoonerAfterARestart(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := newLeader(1)
		p := &restartingPlatform{began: time.Now(), restartedAt: 3050 * time.Millisecond, listedAfter: 600 * time.Millisecond}
		s.cfg.Platform = p
		known := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.mu.planner.engines["after"] != nil
		}
		work := func() {
			s.startList(t.Context())
			s.startReports(t.Context())
			time.Sleep(workInterval)
		}
		for time.Since(p.began) < p.restartedAt {
			work()
		}
		atUsualPace := int(p.lists.Load())
		for !known() {
			work()
		}
		const bound = reportInterval + restartListInterval + workInterval // after the restart
		if took := time.Since(p.began) - p.restartedAt; took > bound {
			t.Errorf("the engine is known %v after its restart, want %v at most", took, bound)
		}
		if most := int(p.restartedAt/listInterval) + 1; atUsualPace > most {
			t.Errorf("%d calls of the list before the restart, want %d at most", atUsualPace, most)
		}
		calls, began := int(p.lists.Load()), time.Now()
		for time.Since(began) < 10*listInterval {
			work()
		}
		if got := int(p.lists.Load()) - calls; got > 11+int(restartListTime/restartListInterval) {
			t.Errorf("%d calls of the list in %v after that", got, 10*listInterval)
		}
	})
}
