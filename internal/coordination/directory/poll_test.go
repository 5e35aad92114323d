package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
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
