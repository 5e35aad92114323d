package httpresponse

import (
	"bytes"
	"strings"
)

// HeadChecker checks the head of one response against the grammar of RFC 9112 while its
// bytes arrive, without copying them. The zero value is ready to use.
//
// As in net/http, lines may end with a single line feed. The text of reason phrases and of
// field values is left to net/http.
type HeadChecker struct {
	part headPart
	// statusLine holds the beginning of the status line, of which length bytes have arrived.
	statusLine [len("HTTP/1.1 200")]byte
	length     int
	// name holds the beginning of the field name that is being read, of which nameLength
	// bytes have arrived.
	name       [len(transferEncoding)]byte
	nameLength int
	err        error
}

const transferEncoding = "Transfer-Encoding"

// headPart is the part of a head to which the next byte belongs.
type headPart int

const (
	inStatusLine headPart = iota
	// inText is a reason phrase or the value of a field, up to the end of its line.
	inText
	inName
	// inEmptyLine is the line that ends the head, behind its carriage return.
	inEmptyLine
	headEnd
)

// Check checks the next bytes of the connection and returns the first error in the head, a
// *MalformedError. Bytes behind the head are ignored.
func (h *HeadChecker) Check(p []byte) error {
	for len(p) > 0 && h.part != headEnd && h.err == nil {
		p = h.checkPart(p)
	}
	return h.err
}

// Err returns the error that Check found, or nil.
func (h *HeadChecker) Err() error { return h.err }

// Done reports whether the head is complete.
func (h *HeadChecker) Done() bool { return h.part == headEnd }

// checkPart checks the part with which p begins and returns what is left of p.
func (h *HeadChecker) checkPart(p []byte) []byte {
	switch h.part {
	case inStatusLine:
		return h.checkStatusLine(p)
	case inText:
		return h.skipText(p)
	case inName:
		return h.checkName(p)
	default:
		return h.checkEmptyLine(p)
	}
}

func (h *HeadChecker) checkStatusLine(p []byte) []byte {
	n := copy(h.statusLine[h.length:], p)
	h.length += n
	if h.length < len(h.statusLine) {
		return nil
	}
	if !validStatusLine(h.statusLine[:]) {
		h.err = malformed("the status line begins with %q", h.statusLine)
	}
	h.part = inText
	return p[n:]
}

// validStatusLine reports whether the beginning of a status line has a version 1.x and a
// status from 100 to 599.
func validStatusLine(line []byte) bool {
	version, status := line[:len("HTTP/1.1 ")], line[len("HTTP/1.1 "):]
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len("HTTP/1.")]) || version[len("HTTP/1.1")] != ' ' {
		return false
	}
	return '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// skipText returns what follows the line.
func (h *HeadChecker) skipText(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return nil
	}
	h.part, h.nameLength = inName, 0
	return p[end+1:]
}

// checkName checks a field name with its colon, or the beginning of the empty line.
func (h *HeadChecker) checkName(p []byte) []byte {
	for i, b := range p {
		switch {
		case isTokenByte(b):
			h.addToName(b)
			continue
		case h.nameLength > 0 && b == ':':
			h.endName()
		case h.nameLength == 0 && b == '\r':
			h.part = inEmptyLine
		case h.nameLength == 0 && b == '\n':
			h.part = headEnd
		default:
			h.err = malformed("byte %q at position %d of a field name", b, h.nameLength)
		}
		return p[i+1:]
	}
	return nil
}

func (h *HeadChecker) addToName(b byte) {
	if h.nameLength < len(h.name) {
		h.name[h.nameLength] = b
	}
	h.nameLength++
}

// endName checks a complete name. RFC 9112 calls the framing of a response faulty if it has
// a Transfer-Encoding in version 1.0; net/http would take the chunks for the body.
func (h *HeadChecker) endName() {
	h.part = inText
	version10 := h.statusLine[len("HTTP/1.")] == '0'
	if version10 && h.nameLength == len(h.name) && strings.EqualFold(string(h.name[:]), transferEncoding) {
		h.err = malformed("%s in a response of version 1.0", transferEncoding)
	}
}

func (h *HeadChecker) checkEmptyLine(p []byte) []byte {
	if p[0] != '\n' {
		h.err = malformed("byte %q behind the carriage return of an empty line", p[0])
	}
	h.part = headEnd
	return p[1:]
}
