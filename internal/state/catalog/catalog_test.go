package catalog

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Guards against packing that changes a document: Unpack must return the bytes
// that were packed.
func TestPackKeepsEveryByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.SliceOf(rapid.Byte()).Draw(t, "document")
		packed, err := Pack(document)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Unpack(packed)
		if err != nil || !bytes.Equal(got, document) {
			t.Fatalf("got %q, error %v", got, err)
		}
	})
}

// Guards against a damaged document that is read as a shorter or empty one
// instead of being refused.
func TestUnpackRefusesDamage(t *testing.T) {
	packed, err := Pack([]byte("document"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(packed[:len(packed)-4]); err == nil {
		t.Fatal("a truncated document was unpacked without an error")
	}
	if _, err := Unpack(nil); err == nil {
		t.Fatal("an empty document was unpacked without an error")
	}
}

// Guards against a split that ignores the weights or sends requests to a service
// of weight 0.
func TestChooseByWeight(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"none", 0}, {"b", 10}}}
	for at, want := range map[float64]string{0: "a", 0.89: "a", 0.901: "b", 0.999: "b"} {
		if got := r.PickService(at); got != want {
			t.Errorf("%v: %q, want %q", at, got, want)
		}
	}
}

// Guards against a route choice that depends on the order of the routes instead
// of the longest prefix, and against hosts compared with their case or port.
func TestRouteWithTheLongestPrefix(t *testing.T) {
	x := NewIndex(&Catalog{Version: 1, Routes: []Route{
		{Name: "short", Host: "H.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "other", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/a/b/c": "long", "/a/bc": "short", "/a/": "short"} {
		if r := x.Route("h.EXAMPLE:8080", path); r == nil || r.Name != want {
			t.Errorf("%s: %+v, want %s", path, r, want)
		}
	}
	if r := x.Route("h.example", "/c/"); r != nil {
		t.Errorf("path without a route: got %+v, want none", r)
	}
}

// Guards against plain routes that are handled as resumable streams because the
// operator's catalog marks them so.
func TestOnlyStreamingRoutesAreResumable(t *testing.T) {
	for kind, want := range map[Kind]struct{ resumable, idempotent bool }{
		NonIdempotent: {false, false}, Idempotent: {false, true}, Streaming: {true, true},
	} {
		c := &Catalog{Version: 1, Routes: []Route{{Host: "h", Prefix: "/", Kind: kind, Resumable: true}}}
		r := NewIndex(c).Route("h", "/")
		if !c.Routes[0].Resumable {
			t.Error("the catalog was modified, which others may read")
		}
		if r.Resumable != want.resumable || r.Idempotent() != want.idempotent {
			t.Errorf("kind %d: resumable %v, idempotent %v, want %+v", kind, r.Resumable, r.Idempotent(), want)
		}
	}
}
