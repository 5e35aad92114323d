package exchange

// singleUse is a body whose connection is not used again.
type singleUse struct{ Body }

// SingleUse returns a body whose connection is closed at the end of the exchange. It is for
// a response that does not name its request: a late copy of it would pass for the answer
// to the next request on the connection.
func SingleUse(b Body) Body { return singleUse{b} }

// Close implements Body.
func (b singleUse) Close() error {
	b.Discard()
	return nil
}

// Finish implements Body.
func (b singleUse) Finish() { b.Discard() }
