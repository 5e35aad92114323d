package httpserver

import (
	"bytes"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Memory that a request head takes once net/http has parsed it and the handler has
// copied it.
const (
	// headBaseBytes is for the request, the response and their buffers.
	headBaseBytes = 4 << 10
	// headLineBytes is for the map entry, the slice and the strings of one field in two
	// copies of the header, beside the bytes of name and value.
	headLineBytes = 256
	// headByteFactor is for the copies of the bytes of names and values.
	headByteFactor = 2
	// headStep is the granularity of reservations.
	headStep = 4 << 10
)

// headScanner follows the bytes of one request head and tells where it ends, by the
// rules of net/http: a line ends with \n, one \r before it is not part of the line, and
// the first empty line after the request line ends the head.
type headScanner struct {
	limits *Limits
	// bytes and lines are those of the head so far; blank is the number of \r and \n
	// before the request line.
	bytes, lines, blank int
	line                lineState
}

// lineState describes the current line so far.
type lineState int8

const (
	lineEmpty  lineState = iota
	lineReturn           // only \r
	lineText
)

// started reports whether any byte has been scanned.
func (s *headScanner) started() bool { return s.bytes+s.blank > 0 }

// cost returns the memory that the head takes once parsed.
func (s *headScanner) cost() int64 {
	return headBaseBytes + int64(s.bytes)*headByteFactor + int64(s.lines)*headLineBytes
}

// scan returns how many bytes of p belong to the head, and whether it ends with them.
// The error says which bound the head exceeds.
func (s *headScanner) scan(p []byte) (n int, done bool, err *resultcode.Error) {
	if s.bytes == 0 {
		if n, err = s.skipBlank(p); err != nil || n == len(p) {
			return n, false, err
		}
	}
	for n < len(p) && !done {
		line := p[n:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end+1]
		}
		n += len(line)
		s.bytes += len(line)
		done = s.follow(line, end >= 0)
		if err := s.check(); err != nil {
			return n, false, err
		}
	}
	return n, done, nil
}

// follow notes a part of a line, and reports whether it ends the head.
func (s *headScanner) follow(part []byte, ended bool) (done bool) {
	text := part
	if ended {
		text = part[:len(part)-1]
	}
	switch {
	case len(text) == 0:
	case s.line == lineEmpty && len(text) == 1 && text[0] == '\r':
		s.line = lineReturn
	default:
		s.line = lineText
	}
	if !ended {
		return false
	}
	done = s.line != lineText
	s.lines++
	s.line = lineEmpty
	return done
}

func (s *headScanner) check() *resultcode.Error {
	if s.bytes > s.limits.HeaderBytes {
		return resultcode.New(resultcode.HeadersTooLarge, "the header has more than %d bytes", s.limits.HeaderBytes)
	}
	if s.lines > s.limits.HeaderLines {
		return resultcode.New(resultcode.HeadersTooLarge, "the header has more than %d lines", s.limits.HeaderLines)
	}
	return nil
}

// skipBlank counts the empty lines before the request line.
func (s *headScanner) skipBlank(p []byte) (int, *resultcode.Error) {
	for n, c := range p {
		if c != '\r' && c != '\n' {
			return n, nil
		}
		if s.blank++; s.blank > len("\r\n")*s.limits.BlankLines {
			return n, resultcode.New(resultcode.BadRequest, "more than %d empty lines before the request", s.limits.BlankLines)
		}
	}
	return len(p), nil
}
