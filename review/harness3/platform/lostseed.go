package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

const (
	// lastStart is how much later than the others the last VM starts, a seed; all start within
	// 0.3 s of each other. seedLife is the time between its start and its loss.
	lastStart = 250 * time.Millisecond
	seedLife  = 150 * time.Millisecond
	// successorDelay is the time until a VM without data comes at another address.
	successorDelay = 2 * time.Second
	// playTime is how long requests are sent and manifests offered.
	playTime        = 60 * time.Second
	requestInterval = 500 * time.Millisecond
	lookupDeadline  = 2 * time.Second
)

// lostSeed checks that a deployment serves requests if one of its seeds is lost for good right
// after the first start. A VM without data takes its place at another address.
func lostSeed(rec *record, trouble bool) (outcome, error) {
	f, err := newFleet(rec, founders+1, 1)
	if err != nil {
		return outcome{}, err
	}
	setRunning(f)
	for range 2 {
		if _, err := f.addEndpoint("plain", "v1"); err != nil {
			return outcome{}, err
		}
	}
	successor, seed := f.control[founders], f.control[2]
	f.control = f.control[:founders]
	for _, p := range f.all() {
		if p == seed {
			continue
		}
		if err := f.startVM(p); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(lastStart)
	if err := f.startVM(seed); err != nil {
		return outcome{}, err
	}
	if trouble {
		time.Sleep(seedLife)
		f.signal(seed, syscall.SIGKILL)
		time.Sleep(successorDelay)
		successor.starts++ // it does not start for the first time with the others
		f.control = append(f.control, successor)
		if err := f.startVM(successor); err != nil {
			return outcome{}, err
		}
	}
	served, sent := f.playLookups()
	return outcome{broken: served == 0, why: fmt.Sprintf("%d of %d requests were served in %v", served, sent, playTime)}, nil
}

// playLookups offers the first manifest to one control VM after the other until one
// acknowledges it, and sends look-ups to the entry.
func (f *fleet) playLookups() (served, sent int) {
	operator := standin.Operator{HTTP: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	acknowledged := make(chan bool, 1)
	go func() {
		err := f.putFrom(operator, 0, standin.Catalog(1, apiKey), 1)
		for start := time.Now(); err != nil && time.Since(start) < playTime; {
			err = f.putFrom(operator, 0, standin.Catalog(1, apiKey), 1)
		}
		acknowledged <- err == nil
	}()
	for begun := time.Now(); time.Since(begun) < playTime; time.Sleep(requestInterval) {
		sent++
		if f.lookUp() {
			served++
		}
	}
	return served, sent
}

// lookUp sends one idempotent request on a new connection.
func (f *fleet) lookUp() bool {
	p, id := f.entries[0], newID()
	r, err := standin.NewRequest(fmt.Sprintf("%s:%d", p.settings.IP, standin.CallerPort), standin.PrefixIdempotent, id, apiKey, "", lookupDeadline)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: lookupDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		f.record.add("request %s: error %v; %s", id, err, runsOf(f, id))
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	f.record.add("request %s: status %d%s; %s", id, resp.StatusCode, codeText(resp.Header.Get("Radishloom-Result")), runsOf(f, id))
	return resp.StatusCode == http.StatusOK
}
