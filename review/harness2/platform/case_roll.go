package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longEvents is the number of events of a stream that lasts longer than graceS.
	longEvents = 110
	// leaderAfter is the time from the SIGTERM of the entry to that of the control machine.
	leaderAfter = time.Second
)

// playRoll stops an entry that passes on long streams of a service with servers of two
// software versions, and meanwhile the control machine that leads. The streams that the
// entry cuts at its end are taken up at others.
func playRoll(w *world, trouble bool) ([]string, error) {
	for i := range 6 {
		s, err := w.addServer(fmt.Sprintf("draft-a-%d", i+1), "draft-a", 30+i, serveDraft)
		if err != nil {
			return nil, err
		}
		s.version = fmt.Sprint("v", 1+i%2)
	}
	if err := w.start(5, 6); err != nil {
		return nil, err
	}
	if _, err := w.putUntilAcked(draftManifest(1, "draft-a"), 20*time.Second, w.control...); err != nil {
		return nil, err
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	var streams, fresh []*stream
	var requesters sync.WaitGroup
	for i := range brokenStreams {
		s := &stream{world: w, first: w.attemptID(), events: longEvents}
		streams = append(streams, s)
		requesters.Go(func() { s.follow([]*machine{w.entries[0], w.entries[1+i%5], w.entries[1+(i+1)%5]}) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	w.entries[0].signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(leaderAfter)
		if err := w.restartLeader(); err != nil {
			return nil, err
		}
	}
	<-w.entries[0].exited
	for i := range newStreams {
		s := &stream{world: w, first: w.attemptID(), events: 10}
		fresh = append(fresh, s)
		requesters.Go(func() { s.follow(w.entries[1+i%5 : 2+i%5]) })
		time.Sleep(20 * time.Millisecond)
	}
	requesters.Wait()
	return goOn(w, streams, fresh), nil
}

// restartLeader stops the control machine that leads, by its metrics, and starts it again.
func (w *world) restartLeader() error {
	for _, m := range w.control {
		if !m.leads() {
			continue
		}
		m.signal(syscall.SIGTERM)
		<-m.exited
		time.Sleep(restartDelay)
		return m.restart()
	}
	return fmt.Errorf("%w: no control machine leads", errNotRun)
}

// leads reports whether the metrics of the deploy file say that the machine leads.
func (m *machine) leads() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, m.world.ports.peer+1))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "radishloom_leader") && strings.HasSuffix(lines.Text(), " 1") {
			return true
		}
	}
	return false
}
