package engine

import (
	"strings"
	"time"
)

// Faults are what the engine does wrong. The zero value is a sound engine.
// Counts of events are offset by one so that zero means never: a value of 1
// acts before the first event.
type Faults struct {
	// Mark limits the faults to requests whose body holds this text.
	Mark string `json:"mark,omitempty"`
	// Times limits the faults to so many requests; zero is no limit.
	Times int `json:"times,omitempty"`

	// CrashMark kills the engine when it begins to run a request whose body
	// holds this text. It ignores Mark and Times.
	CrashMark string `json:"crash_mark,omitempty"`
	// Refuse answers "not run". RefuseUnnamed runs the request and answers with a
	// refusal without identifier, as if it belonged to another request.
	Refuse        bool `json:"refuse,omitempty"`
	RefuseUnnamed bool `json:"refuse_unnamed,omitempty"`
	// Ignore takes the request, does not run it and never answers.
	Ignore bool `json:"ignore,omitempty"`
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Late holds the answer back for so long after the run.
	Late time.Duration `json:"late,omitempty"`
	// WrongID answers with another request's identifier and text, NoID without
	// any identifier.
	WrongID bool `json:"wrong_id,omitempty"`
	NoID    bool `json:"no_id,omitempty"`
	// SilentAt goes silent before this event, CutAt closes the connection there,
	// ErrorAt reports a fault there, EndAt ends the body without an end marker.
	SilentAt int `json:"silent_at,omitempty"`
	CutAt    int `json:"cut_at,omitempty"`
	ErrorAt  int `json:"error_at,omitempty"`
	EndAt    int `json:"end_at,omitempty"`
	// CutBody closes the connection after this many bytes of a whole answer.
	CutBody int `json:"cut_body,omitempty"`
	// NoLength sends a whole answer without length and chunks.
	NoLength bool `json:"no_length,omitempty"`
	// Repeat sends an event twice at a resume, which is else sound.
	Repeat bool `json:"repeat,omitempty"`
	// Extra sends a second answer after the first one on the same connection.
	Extra bool `json:"extra,omitempty"`
	// NoResume refuses to resume any stream.
	NoResume bool `json:"no_resume,omitempty"`

	// OrderDelay holds orders back. LoseOrderAnswer carries them out and closes
	// the connection. IgnoreLifetime carries out expired orders too.
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

// take returns the faults that apply to a request with this body.
func (e *Engine) take(body []byte) Faults {
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
