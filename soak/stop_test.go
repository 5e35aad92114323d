package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Guards against requests that are taken late in a planned stop, passed on, and cut off
// without an answer at its end: their bodies end after the entry has closed its listener,
// and their work would outlast the grace period.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	const (
		seed, requests = 1, 12
		work           = 1500 * time.Millisecond
		// Every other request has a deadline within the grace period.
		timeout, shortDeadline = 10 * time.Second, 4 * time.Second
		// Times since the stop signal: the listener is open until 2.5 s, and requests in
		// flight are cut off at 7.3 s.
		begin, firstEnd, lastEnd = 2 * time.Second, 3 * time.Second, 6800 * time.Millisecond
	)
	f := newFleet(t, seed, buildDaemon(t), size{control: 3, entries: 2})
	f.putFirstCatalog(timeout)
	f.waitReady(startTimeout)
	for _, e := range f.servers {
		e.SetWork(work)
	}
	began := time.Now()
	f.entries[0].signal(syscall.SIGTERM)
	outcomes := make([]outcome, requests)
	var wg sync.WaitGroup
	for i := range requests {
		end := firstEnd + time.Duration(i)*(lastEnd-firstEnd)/(requests-1)
		outcomes[i].id, outcomes[i].prefix = standin.RequestID(int64(i), 0, 0), standin.PrefixNonIdempotent
		deadline := timeout
		if i%2 == 1 {
			deadline = shortDeadline
		}
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(begin)))
			if err := sendSlowly(f.entries[0].callerAddress(), deadline, began.Add(end), &outcomes[i]); err != nil {
				t.Errorf("request %s, whole after %v, got no answer: %v", outcomes[i].id, end, err)
			}
		})
	}
	wg.Wait()
	served := 0
	for _, o := range outcomes {
		if violation := findViolation(f.endpoints, o); violation != "" {
			t.Errorf("request %s: %s", o.id, violation)
		}
		if o.status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served, although the deadlines of some are within the grace period")
	}
	t.Logf("%d of %d requests served", served, requests)
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// sendSlowly sends a request whose body leaves at a time, and records its response.
func sendSlowly(address string, deadline time.Duration, end time.Time, o *outcome) error {
	r, err := standin.NewRequest(address, o.prefix, o.id, soakKey, standin.Model, deadline)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return err
	}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(end.Add(callerTimeout)); err != nil {
		return err
	}
	head, _, _ := strings.Cut(text.String(), "\r\n\r\n")
	if _, err := c.Write(text.Next(len(head) + len("\r\n\r\n"))); err != nil {
		return err
	}
	time.Sleep(time.Until(end))
	if _, err := c.Write(text.Bytes()); err != nil {
		return fmt.Errorf("the connection ended before the request was whole: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return err
	}
	o.status, o.answerID = resp.StatusCode, standin.ResponseID(resp.Header)
	data, err := io.ReadAll(resp.Body)
	o.body, o.complete = string(data), err == nil
	return err
}
