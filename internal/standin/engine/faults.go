package engine

import (
	"strings"
	"time"
)

// Faults selects the faults to inject. The zero value injects none. Event
// positions are 1-based so that zero means never: a value of 1 acts before the
// first event.
type Faults struct {
	// Mark limits the faults to requests whose body contains this text.
	Mark string `json:"mark,omitempty"`
	// Times is the number of requests that the faults apply to; zero is no limit.
	Times int `json:"times,omitempty"`

	// CrashMark crashes the engine when it starts to run a request whose body
	// contains this text. Mark and Times do not apply to it.
	CrashMark string `json:"crash_mark,omitempty"`
	// Refuse refuses the request as "not run". RefuseUnnamed runs the request and
	// sends a refusal without a request identifier, as if it were meant for
	// another request.
	Refuse        bool `json:"refuse,omitempty"`
	RefuseUnnamed bool `json:"refuse_unnamed,omitempty"`
	// Ignore reads the request, does not run it and never responds.
	Ignore bool `json:"ignore,omitempty"`
	// LoseAnswer runs the request and closes the connection without a response.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Late delays the response: a stream before its first byte, any other
	// response after the run.
	Late time.Duration `json:"late,omitempty"`
	// WrongID responds with the identifier and the text of another request, NoID
	// without any identifier.
	WrongID bool `json:"wrong_id,omitempty"`
	NoID    bool `json:"no_id,omitempty"`
	// Before the given event of a stream, SilentAt stops sending, CutAt closes the
	// connection, ErrorAt sends an error event, and EndAt ends the body without
	// the end marker.
	SilentAt int `json:"silent_at,omitempty"`
	CutAt    int `json:"cut_at,omitempty"`
	ErrorAt  int `json:"error_at,omitempty"`
	EndAt    int `json:"end_at,omitempty"`
	// CutBody closes the connection after this many body bytes of a response that
	// is not streamed.
	CutBody int `json:"cut_body,omitempty"`
	// NoLength sends a response as a close-delimited body (RFC 9112): without
	// Content-Length and without chunks.
	NoLength bool `json:"no_length,omitempty"`
	// Repeat sends the last event again when a stream is resumed. Other faults do
	// not apply to that resume.
	Repeat bool `json:"repeat,omitempty"`
	// Extra sends a second response after the first one on the same connection.
	Extra bool `json:"extra,omitempty"`
	// NoResume refuses to resume streams.
	NoResume bool `json:"no_resume,omitempty"`
	// ResumeUnknown continues a stream that this incarnation did not begin with a text
	// of its own, against the protocol.
	ResumeUnknown bool `json:"resume_unknown,omitempty"`

	// OrderDelay delays the execution of orders. LoseOrderAnswer executes an order
	// and closes the connection without a response. IgnoreLifetime executes
	// expired orders too.
	OrderDelay      time.Duration `json:"order_delay,omitempty"`
	LoseOrderAnswer bool          `json:"lose_order_answer,omitempty"`
	IgnoreLifetime  bool          `json:"ignore_lifetime,omitempty"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// takeFaults returns the faults that apply to a request with this body, and
// counts the request against Times.
func (e *Engine) takeFaults(body []byte) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	crash := f.CrashMark
	if f.Mark != "" && !strings.Contains(string(body), f.Mark) {
		return Faults{CrashMark: crash}
	}
	if f.Times > 0 {
		if e.faults.Times--; e.faults.Times == 0 {
			e.faults = Faults{CrashMark: crash}
		}
	}
	return f
}
