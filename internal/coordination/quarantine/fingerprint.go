package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash"
)

// maxBeginnings bounds the beginnings of one prompt.
const maxBeginnings = 8

// Fingerprint identifies identical requests, or identical beginnings of prompts, of
// one customer on one route.
type Fingerprint [sha256.Size]byte

// Identity is what crashes are counted for.
type Identity struct {
	// Request identifies the whole request.
	Request Fingerprint
	// Beginnings identify the messages of the prompt up to each one but the last, the
	// shortest beginning first.
	Beginnings []Fingerprint
}

// RequestIdentity returns the identity of a request without a prompt.
func RequestIdentity(customer, route string, body []byte) Identity {
	h := scopedHash("request", customer, route)
	h.Write(body)
	return Identity{Request: Fingerprint(h.Sum(nil))}
}

// PromptIdentity returns the identity of a request whose body has a list of messages.
// A body without one has no beginnings.
func PromptIdentity(customer, route string, body []byte) Identity {
	q := RequestIdentity(customer, route, body)
	var prompt struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &prompt); err != nil || len(prompt.Messages) < 2 {
		return q // the engine judges a malformed body
	}
	h := scopedHash("beginning", customer, route)
	for _, m := range prompt.Messages[:min(len(prompt.Messages)-1, maxBeginnings)] {
		writeWithLength(h, m)
		q.Beginnings = append(q.Beginnings, Fingerprint(h.Sum(nil)))
	}
	return q
}

// scopedHash returns a hash of kind, customer and route.
func scopedHash(kind, customer, route string) hash.Hash {
	h := sha256.New()
	for _, part := range []string{kind, customer, route} {
		writeWithLength(h, []byte(part))
	}
	return h
}

// writeWithLength precedes a part with its length, so that boundaries are unambiguous.
func writeWithLength(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}
