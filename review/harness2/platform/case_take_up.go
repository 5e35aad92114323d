package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	draftPath     = "/draft/"
	draftEvents   = 40
	eventInterval = 100 * time.Millisecond
	draftDeadline = 15 * time.Second
	// brokenStreams is the number of streams at the entry that is killed, newStreams that
	// of the streams which begin at the others after that.
	brokenStreams = 24
	newStreams    = 24
	// restartDelay is the time until the process of the entry is started again.
	restartDelay = 500 * time.Millisecond
	// minTakeUps is the number of streams that are taken up from which the rule counts.
	minTakeUps = 12
)

// draftManifest returns a manifest with a route for streams that may be resumed. With
// several services the route is split between them, the first of which gets most.
func draftManifest(version int, services ...string) manifest {
	m := newManifest(version)
	var split []any
	for i, name := range services {
		weight := 10
		if i == 0 {
			weight = 90
		}
		split = append(split, map[string]any{"service": name, "weight": weight})
		m["services"] = append(m["services"].([]any), map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	m["routes"] = append(m["routes"].([]any), map[string]any{
		"name": "draft", "host": lookupHost, "pathPrefix": draftPath, "kind": "streaming", "timeoutMs": draftDeadline.Milliseconds(), "goalMs": 1500, "priority": 1,
		"split": split, "maxAttempts": 2, "public": false, "sticky": false, "resumable": true, "gapTargetMs": 250,
	})
	return m
}

// playTakeUp kills one entry while it passes on streams. Their requesters take them up at
// the other entries.
func playTakeUp(w *world, trouble bool) ([]string, error) {
	for i := range 3 {
		for j, service := range []string{lookupService, "draft-a", "draft-b"} {
			if _, err := w.addServer(fmt.Sprintf("%s-%d", service, i+1), service, 30+3*i+j, serveDraft); err != nil {
				return nil, err
			}
		}
	}
	if err := w.start(5, 6); err != nil {
		return nil, err
	}
	if _, err := w.putUntilAcked(draftManifest(1, "draft-a", "draft-b"), 20*time.Second, w.control...); err != nil {
		return nil, err
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	var streams, fresh []*stream
	var requesters sync.WaitGroup
	for i := range brokenStreams {
		s := &stream{world: w, first: w.attemptID(), events: draftEvents}
		streams = append(streams, s)
		tries := []*machine{w.entries[0], w.entries[1+i%5], w.entries[1+(i+1)%5]}
		requesters.Go(func() { s.follow(tries) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		w.entries[0].kill()
		time.AfterFunc(restartDelay, func() { _ = w.entries[0].restart() })
	}
	for i := range newStreams {
		s := &stream{world: w, first: w.attemptID(), events: draftEvents}
		fresh = append(fresh, s)
		requesters.Go(func() { s.follow(w.entries[1+i%5 : 2+i%5]) })
		time.Sleep(20 * time.Millisecond)
	}
	requesters.Wait()
	return goOn(w, streams, fresh), nil
}

// serveDraft answers a lookup, or sends the events of a stream that the requester does not
// have yet.
func serveDraft(s *server, w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, draftPath) {
		_, _ = io.WriteString(w, "ok\n") // the caller may have left
		return
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	version := s.softwareVersion()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	events, err := strconv.Atoi(r.URL.Query().Get("events"))
	if err != nil {
		events = draftEvents
	}
	for n := from + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", n, n, r.URL.Path, version); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// stream is a stream that a requester follows, over its tries.
type stream struct {
	world  *world
	first  string // the attempt that brought the first event
	events int    // of the whole stream
	last   int    // the last event that came whole

	versions []string // of the servers that wrote its events

	begun, takenUp, wentOn, complete bool
}

func (s *stream) noteVersion(version string) {
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

// follow begins the stream at the first of the entries. When its channel breaks, it is
// taken up at the next one; a refusal is followed by one more try there.
func (s *stream) follow(entries []*machine) {
	s.try(entries[0], s.first)
	if s.complete || s.last == 0 || len(entries) == 1 {
		return
	}
	s.takenUp = true
	before := s.last
	for _, to := range entries[1:] {
		wait := s.try(to, s.world.attemptID())
		s.wentOn = s.wentOn || s.last > before
		if s.complete {
			return
		}
		time.Sleep(wait)
	}
}

// try makes one attempt and returns the time that a refusal asks to wait.
func (s *stream) try(to *machine, attempt string) (wait time.Duration) {
	status, result, err := s.attempt(to, attempt, &wait)
	s.world.rec.addf("attempt %s at %s for stream %s: status %d, result %s, events up to %d, %v", attempt, to.name, s.first, status, result, s.last, err)
	return wait
}

func (s *stream) attempt(to *machine, attempt string, wait *time.Duration) (status int, result string, err error) {
	c, err := s.world.dial(to)
	if err != nil {
		return 0, "", err
	}
	defer c.close()
	taking := ""
	if s.last > 0 {
		taking = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", s.first, s.last)
	}
	_, err = fmt.Fprintf(c.conn, "POST %s%s?events=%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 0\r\n%s\r\n", draftPath, s.first, s.events, lookupHost, attempt,
		draftDeadline.Milliseconds(), keyOf("t1"), taking)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	result = resp.Header.Get("Radishloom-Result")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		*wait = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, result, nil
	}
	return resp.StatusCode, result, s.read(bufio.NewReader(resp.Body))
}

// read reads events until the stream ends.
func (s *stream) read(from *bufio.Reader) error {
	id := 0
	for {
		line, err := from.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF):
			s.complete = s.last == s.events
			return nil
		case err != nil:
			return err
		case strings.HasPrefix(line, "data: "):
			_, version, _ := strings.Cut(strings.TrimSpace(line), " by ")
			s.noteVersion(version)
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(strings.TrimSpace(line[len("id: "):])) // the stand-in writes numbers
		case line == "\n":
			s.last, s.begun = id, true
		}
	}
}

// goOn applies the rule on streams that are taken up again.
func goOn(w *world, streams, fresh []*stream) (broken []string) {
	takenUp, wentOn, begun := 0, 0, 0
	for _, s := range streams {
		if s.takenUp {
			takenUp++
		}
		if s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.begun {
			begun++
		}
	}
	w.rec.notef("%d streams are taken up, %d of them go on; %d of %d new streams begin", takenUp, wentOn, begun, len(fresh))
	if takenUp < minTakeUps {
		return nil
	}
	goesOn, begins := float64(wentOn)/float64(takenUp), float64(begun)/float64(len(fresh))
	if goesOn < begins/2 {
		broken = append(broken, fmt.Sprintf("LOST: %.0f%% of %d streams that are taken up go on, %.0f%% of new streams begin", 100*goesOn, takenUp, 100*begins))
	}
	return broken
}
