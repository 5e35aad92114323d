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

// send sends a request without a body and reads the answer.
func (c *channel) send(method, path, key string, deadline time.Duration) answer {
	a := answer{id: c.world.attemptID(), sentAt: time.Now()}
	defer func() {
		c.world.rec.addf("attempt %s %s %s sent at %.3f: status %d, sealed %t, complete %t, %d bytes after %d ms, result %s, error %v", a.id, method, path,
			a.sentAt.Sub(c.world.rec.start).Seconds(), a.status, a.sealed, a.complete, a.bytes, a.endedAt.Sub(a.sentAt).Milliseconds(), a.result, a.err)
	}()
	_ = c.conn.SetDeadline(a.sentAt.Add(deadline + 500*time.Millisecond)) // an error shows in the write
	_, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 0\r\n\r\n", method, path, lookupHost, a.id, deadline.Milliseconds(), key)
	if a.err != nil {
		a.endedAt = time.Now()
		return a
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
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
