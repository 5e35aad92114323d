package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requester sends requests to one front machine on channels that it keeps.
type requester struct {
	world  *world
	to     *process
	client *http.Client
}

// answer is what a requester saw.
type answer struct {
	id     string
	sentAt time.Time
	took   time.Duration
	// status is zero if the channel ended without an answer; err tells how.
	status   int
	seal     string
	complete bool
	body     []byte
	err      error
}

var requestCount atomic.Int64

func (w *world) newRequester(to *process) *requester {
	return &requester{world: w, to: to, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// request is one attempt of a requester.
type request struct {
	method, path, key string
	body              []byte
	deadline          time.Duration
	// header holds further fields.
	header map[string]string
}

// send sends a request and waits for its answer, at most half a second longer than its
// deadline.
func (q *requester) send(r request) answer {
	a := answer{id: fmt.Sprintf("r%06d", requestCount.Add(1)), sentAt: time.Now()}
	defer func() {
		q.world.log("request %s %s %s (%d B) to %s: status %d, seal %q, %d B, complete %t after %d ms, error %v",
			a.id, r.method, r.path, len(r.body), q.to.name, a.status, a.seal, len(a.body), a.complete, a.took.Milliseconds(), a.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+500*time.Millisecond)
	defer cancel()
	target := fmt.Sprintf("http://%s:%d%s", q.to.ip, q.world.ports.front, r.path)
	in, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	// net/http sends a request again by itself if it can read its body again, or if it
	// has none. Each attempt of a requester has an identifier of its own.
	in.GetBody = nil
	if len(r.body) == 0 {
		in.Body = io.NopCloser(strings.NewReader(""))
	}
	in.Host = host
	in.Header.Set("Attempt-Id", a.id)
	in.Header.Set("Api-Key", r.key)
	in.Header.Set("Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for name, value := range r.header {
		in.Header.Set(name, value)
	}
	resp, err := q.client.Do(in)
	if err != nil {
		a.took, a.err = time.Since(a.sentAt), err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete, a.took = a.err == nil, time.Since(a.sentAt)
	return a
}
