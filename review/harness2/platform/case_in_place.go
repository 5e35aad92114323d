package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// releaseServers is the number of servers, releasedServers that of those that restart:
	// a share of 0.25.
	releaseServers, releasedServers = 8, 2
	// releaseStreams is the number of streams that run meanwhile.
	releaseStreams = 96
	// releaseGap is the time between the restarts of two servers.
	releaseGap = 800 * time.Millisecond
	// maxJoined is the number of streams that may hold events of two versions.
	maxJoined = 2
)

// playInPlace restarts two servers of a service one after the other, under their ids and at
// their addresses, with another version of their software.
func playInPlace(w *world, trouble bool) ([]string, error) {
	var servers []*server
	for i := range releaseServers {
		s, err := w.addServer(fmt.Sprintf("draft-a-%d", i+1), "draft-a", 30+i, serveDraft)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
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
	var streams []*stream
	var requesters sync.WaitGroup
	for i := range releaseStreams {
		s := &stream{world: w, first: w.attemptID(), events: draftEvents}
		streams = append(streams, s)
		requesters.Go(func() { s.follow([]*machine{w.entries[i%6], w.entries[(i+1)%6]}) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range servers[:releasedServers] {
		if !trouble {
			break
		}
		if err := s.restart("v2"); err != nil {
			return nil, err
		}
		time.Sleep(releaseGap)
	}
	requesters.Wait()
	joined, complete := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
			w.rec.addf("stream %s holds events of %v", s.first, s.versions)
		}
		if s.complete {
			complete++
		}
	}
	w.rec.notef("%d of %d streams hold events of two versions, %d are complete", joined, len(streams), complete)
	if joined > maxJoined {
		return []string{fmt.Sprintf("ORDER: %d streams hold events from servers of two software versions", joined)}, nil
	}
	return nil, nil
}
