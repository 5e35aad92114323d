// Package httpresponse decides which bytes are an HTTP response. It is the one rule for all
// that this project reads as responses, from endpoints, from the platform and from its own
// processes.
//
// net/http parses responses and is lenient. A status is any three characters that can be read
// as a number. A field is dropped if a blank stands in its name or before its colon, and it
// is added to the value of the field before if its name begins with a blank. The framing,
// and with it the body, may then not be what the sender meant. A sender that writes such
// heads is in trouble, so that nothing in the response may be believed.
//
// HeadChecker applies the grammar of RFC 9112 to the bytes of a connection; Transport applies
// what can still be seen of it to responses that net/http has read.
package httpresponse

import (
	"fmt"
	"net/http"
	"strings"
)

// MalformedError states why received bytes are no HTTP response.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// CheckNames returns a *MalformedError if a field has a name that is no token. Fields
// without values, as in a trailer that is only announced, do not count.
func CheckNames(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !IsToken(name) {
			return malformed("field name %q", name)
		}
	}
	return nil
}

// IsToken reports whether s may be a method or a field name by RFC 9110.
func IsToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(b byte) bool {
	return ' ' < b && b < 0x7f && strings.IndexByte(`()<>@,;:\"/[]?={}`, b) < 0
}
