package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// streamLeader is a leader that knows the software versions of streams by their keys, and
// records the calls.
type streamLeader struct {
	partitionedControl
	mu       sync.Mutex
	term     uint64
	versions map[uint64]string
	// services has the service of a recorded stream, if it is not models. only has the
	// only version of a service, at which a stream without a record began.
	services map[uint64]string
	only     map[string]string
	// pending is the number of answers without a record that may come later.
	pending int
	// delay is the time until an answer; a negative one is longer than every call lasts.
	// fails is the number of calls that fail.
	delay     time.Duration
	fails     int
	requests  []*peerv1.StreamsRequest
	addresses []string
	// running and mostRunning count the calls with queries in flight.
	running, mostRunning int
	// failed, if set, is called at a call that fails.
	failed func()
}

func (l *streamLeader) Streams(ctx context.Context, address string, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	l.mu.Lock()
	l.requests, l.addresses = append(l.requests, r), append(l.addresses, address)
	l.running += min(1, len(r.GetQueries()))
	l.mostRunning = max(l.mostRunning, l.running)
	fails, delay := l.fails > 0, l.delay
	l.fails--
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.running -= min(1, len(r.GetQueries()))
		l.mu.Unlock()
	}()
	if fails {
		if l.failed != nil {
			l.failed()
		}
		return nil, errors.New("not the leader")
	}
	if delay < 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleep(ctx, delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &peerv1.StreamsResponse{Term: l.term}
	for _, q := range r.GetQueries() {
		service, version := l.answer(q)
		later := version == "" && l.pending > 0
		if later {
			l.pending--
		}
		out.Pending = append(out.Pending, later)
		out.Services = append(out.Services, service)
		out.SoftwareVersions = append(out.SoftwareVersions, version)
	}
	return out, nil
}

func (l *streamLeader) answer(q *peerv1.StreamQuery) (service, version string) {
	if version, recorded := l.versions[q.GetStream()]; recorded {
		return cmp.Or(l.services[q.GetStream()], "models"), version
	}
	return q.GetService(), l.only[q.GetService()]
}

// begun returns the software versions in the last report of each stream.
func (l *streamLeader) begun() map[uint64]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[uint64]string{}
	for _, r := range l.requests {
		for _, b := range r.GetBegun() {
			out[b.GetStream()] = b.GetSoftwareVersion()
		}
	}
	return out
}

// firstQuery returns the first query of a stream, or nil.
func (l *streamLeader) firstQuery() *peerv1.StreamQuery {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if queries := r.GetQueries(); len(queries) > 0 {
			return queries[0]
		}
	}
	return nil
}

func (l *streamLeader) calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

// ledEntry is an entry with a leader, in a bubble with its own clock.
type ledEntry struct {
	endpoints *fakeEndpoints
	server    *Server
	watcher   *Watcher
	leader    *streamLeader
}

func withLeader(t *testing.T, leader *streamLeader, list []pool.Endpoint, f func(t *testing.T, e *ledEntry)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(callsEnd)
		defer cancel()
		e := &ledEntry{endpoints: &fakeEndpoints{}, leader: leader}
		e.server = newServer(t, e.endpoints)
		e.server.SetEndpoints(list)
		e.watcher = NewWatcher(WatcherConfig{Directory: leader, Session: &statev1.Session{}, Log: slog.New(slog.DiscardHandler)})
		e.watcher.SetSeeds([]string{"c"})
		go e.watcher.lookUpStreams(ctx, e.server)
		go e.watcher.reportStreams(ctx, e.server)
		go e.server.Run(ctx)
		f(t, e)
	})
}

// do sends one request and returns the status, the result code and the time that it took.
func (e *ledEntry) do(path string, header map[string]string, replies ...reply) (status int, code string, took time.Duration) {
	started := time.Now()
	w := e.exchange(path, header, replies...)
	return w.Code, w.Header().Get(resultcode.Header), time.Since(started)
}

// exchange sends one request and returns the answer.
func (e *ledEntry) exchange(path string, header map[string]string, replies ...reply) *httptest.ResponseRecorder {
	e.endpoints.mu.Lock()
	e.endpoints.replies = append(e.endpoints.replies, replies...)
	e.endpoints.mu.Unlock()
	r := httptest.NewRequest(http.MethodPost, path, io.NopCloser(strings.NewReader("body")))
	r.Host = "h"
	r.Header = http.Header{"Id": {"id-1"}, "Key": {"k"}, "Model": {"m"}}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		e.server.ServeHTTP(w, r)
	}()
	return w
}

// sentTo returns the endpoints that got the requests.
func (e *ledEntry) sentTo() []string {
	var out []string
	for _, r := range e.endpoints.sends() {
		out = append(out, r.Header.Get("Endpoint"))
	}
	return out
}
