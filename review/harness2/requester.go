package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a connection of a requester.
type channel struct {
	world *world
	conn  net.Conn
	br    *bufio.Reader
}

// dial opens a channel; requesters allow a second for that.
func (w *world) dial(to *machine) (*channel, error) {
	c, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{world: w, conn: c, br: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// answer is what a requester got for one attempt.
type answer struct {
	id       string
	sentAt   time.Time
	status   int  // zero without a head
	sealed   bool // a server's answer
	complete bool // the whole answer came
	endedAt  time.Time
	bytes    int
	result   string // code of the system's own answers
	err      error
}

// served reports whether the attempt was answered with success.
func (a answer) served() bool { return a.complete && a.sealed && a.status/100 == 2 }

// get sends a lookup on the channel and reads the answer.
func (c *channel) get(path, key string, deadline time.Duration) answer {
	a := answer{id: c.world.attemptID(), sentAt: time.Now()}
	defer func() {
		c.world.rec.addf("attempt %s GET %s sent at %.3f: status %d, sealed %t, complete %t, %d bytes after %d ms, result %s, error %v", a.id, path,
			a.sentAt.Sub(c.world.rec.start).Seconds(), a.status, a.sealed, a.complete, a.bytes, a.endedAt.Sub(a.sentAt).Milliseconds(), a.result, a.err)
	}()
	_ = c.conn.SetDeadline(a.sentAt.Add(deadline + 500*time.Millisecond)) // an error shows in the write
	_, a.err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n\r\n", path, lookupHost, a.id, deadline.Milliseconds(), key)
	if a.err != nil {
		a.endedAt = time.Now()
		return a
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.sealed, a.result = resp.StatusCode, resp.Header.Get(headerSeal) != "", resp.Header.Get("Radishloom-Result")
	data, err := io.ReadAll(resp.Body)
	a.bytes, a.err, a.endedAt = len(data), err, time.Now()
	a.complete = err == nil
	return a
}

// lookUp makes a request with one retry, on a new channel at another entry.
func (w *world) lookUp(path, key string, n int) (a answer) {
	end := time.Now().Add(lookupTimeout)
	for try := range 2 {
		c, err := w.dial(w.entries[(n+try)%len(w.entries)])
		if err != nil {
			a.err = err
			continue
		}
		a = c.get(path, key, time.Until(end))
		c.close()
		if a.served() || time.Until(end) < minTimeLeft {
			return a
		}
	}
	return a
}

// minTimeLeft is the least time in which a requester tries again.
const minTimeLeft = 100 * time.Millisecond
