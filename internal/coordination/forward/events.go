package forward

import (
	"bytes"
	"mime"
	"net/http"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// eventEnds are the ends of an event of a text/event-stream: an empty line, with LF or
// CRLF line ends.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// maxEventEnd is the length of the longest of eventEnds in bytes.
const maxEventEnd = 3

// lastEventEnd returns the position behind the last event in p that is complete, or 0 if
// there is none.
func lastEventEnd(p []byte) int {
	last := 0
	for _, end := range eventEnds {
		if at := bytes.LastIndex(p, end); at >= 0 {
			last = max(last, at+len(end))
		}
	}
	return last
}

// hasEvents reports whether a response with this header states that it is a stream of
// events.
func hasEvents(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// hasOtherContent reports whether a response with this header states that it is no
// stream of events.
func hasOtherContent(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType != eventStreamType
}
