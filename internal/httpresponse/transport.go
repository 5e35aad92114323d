package httpresponse

import (
	"errors"
	"net/http"
)

// The statuses of RFC 9110, section 15.
const (
	lowestStatus  = 100
	highestStatus = 599
)

// ErrCloseDelimited is the error for a response whose body only the close of the connection
// would end.
var ErrCloseDelimited = errors.New("the response has neither a Content-Length nor chunked encoding")

// Transport is an http.RoundTripper that returns a *MalformedError instead of a malformed
// response. net/http has parsed the head by then, so that a field that begins with a blank
// is not seen: it is part of the value of the field before.
type Transport struct {
	// Next performs the exchanges.
	Next http.RoundTripper
	// RequireFraming refuses close-delimited responses with ErrCloseDelimited. net/http takes
	// such a body to be whole even if the connection was reset while the request was being
	// sent, and the beginning of a protobuf message may be a message as well. Servers of this
	// project frame all responses.
	RequireFraming bool
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	err = checkParsed(resp)
	if err == nil && t.RequireFraming && isCloseDelimited(resp) {
		err = ErrCloseDelimited
	}
	if err != nil {
		_ = resp.Body.Close() // nothing of it is used
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the unused connections of Next. http.Client calls it, too.
func (t Transport) CloseIdleConnections() {
	if next, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}

func checkParsed(resp *http.Response) error {
	if resp.StatusCode < lowestStatus || resp.StatusCode > highestStatus {
		return malformed("status %q", resp.Status)
	}
	return CheckNames(resp.Header)
}

// isCloseDelimited reports whether only the close of the connection ends the body. The end of
// a body that net/http has decompressed is part of its encoding.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && !HasFraming(resp) && resp.Body != http.NoBody && !resp.Uncompressed
}

// HasFraming reports whether a Content-Length or chunked encoding marks the end of the body.
func HasFraming(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
