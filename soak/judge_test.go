package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/platform/standin"
)

// promisesNotRun reports whether a status means that a request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// findViolation compares an outcome with the runs that endpoints recorded. It
// returns a description of the violated guarantee, or "" if there is none.
func findViolation(f *standin.Fleet, o outcome) string {
	if violation := findRunViolation(f, o); violation != "" || o.status != http.StatusOK {
		return violation
	}
	want := standin.Body(o.id)
	if o.prefix == standin.PrefixStream || o.prefix == standin.PrefixResumable {
		want = wantedStream(o.id, o.body)
	}
	if o.complete && o.body != want {
		return fmt.Sprintf("complete response of %d bytes differs from that of its endpoint, of %d bytes: %q", len(o.body), len(want), excerpt(o.body))
	}
	if !o.complete && !f.Endless(o.key()) && !strings.HasPrefix(want, o.body) {
		return fmt.Sprintf("partial response is not a prefix of that of its endpoint: %q", excerpt(o.body))
	}
	return ""
}

// wantedStream returns the complete stream at the version that began the events in a body.
func wantedStream(name, body string) string {
	version := ""
	if versions := standin.VersionsIn(body); len(versions) > 0 {
		version = versions[0]
	}
	return standin.Stream(name, version)
}

// findRunViolation checks where and how often a request ran, the form of its response and
// the identifier in it.
func findRunViolation(f *standin.Fleet, o outcome) string {
	if o.malformed != "" {
		return o.malformed
	}
	runs := f.Runs(o.key())
	for _, r := range runs {
		if r.Customer != "customer" {
			return fmt.Sprintf("ran for customer %q", r.Customer)
		}
		if r.KeyForwarded {
			return "an endpoint received the caller's key"
		}
	}
	repeatable := o.prefix == standin.PrefixIdempotent || o.prefix == standin.PrefixResumable
	if !repeatable && len(runs) > 1 {
		return fmt.Sprintf("ran %d times: %+v", len(runs), runs)
	}
	if !repeatable && len(runs) > 0 && promisesNotRun(o.status) {
		return fmt.Sprintf("status %d means that the request has not run, but it has: %+v", o.status, runs)
	}
	if o.code == resultcode.StreamNotResumable && (len(runs) > 0 || o.status != http.StatusServiceUnavailable) {
		return fmt.Sprintf("status %d with code %d means that the request has not run: %+v", o.status, o.code, runs)
	}
	if o.answerID != "" && o.answerID != o.id {
		return fmt.Sprintf("the response is that to request %s", o.answerID)
	}
	return ""
}

var (
	statusLinePattern = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9]( [ -~]*)?$`)
	fieldPattern      = regexp.MustCompile(`^[A-Za-z0-9-]+: ?[\t -~]*$`)
)

// findMalformed looks at the bytes that a caller received, since the library that parses
// them accepts more than HTTP allows. The version is that of the request. A head that has not
// arrived whole is not judged.
func findMalformed(received, version string) string {
	if strings.Contains(received, standin.MalformedMark) {
		return fmt.Sprintf("part of a malformed answer was passed on: %q", excerpt(received))
	}
	head, _, whole := strings.Cut(received, "\r\n\r\n")
	if !whole {
		return ""
	}
	lines := strings.Split(head, "\r\n")
	if !strings.HasPrefix(lines[0], version) || !statusLinePattern.MatchString(lines[0]) {
		return fmt.Sprintf("malformed status line %q", lines[0])
	}
	for _, line := range lines[1:] {
		if !fieldPattern.MatchString(line) {
			return fmt.Sprintf("malformed line %q in the head", line)
		}
	}
	return ""
}

// excerpt returns the beginning of a body for a message.
func excerpt(body string) string {
	const length = 400
	return body[:min(len(body), length)]
}
