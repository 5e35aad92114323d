package httpresponse

import "net/http"

// The statuses of RFC 9110, section 15.
const (
	lowestStatus  = 100
	highestStatus = 599
)

// Transport is an http.RoundTripper that returns a *MalformedError instead of a malformed
// response. net/http has parsed the head by then, so that a field that begins with a blank
// is not seen: it is part of the value of the field before.
type Transport struct {
	// Next performs the exchanges.
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
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
