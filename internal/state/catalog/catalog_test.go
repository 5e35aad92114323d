package catalog

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// A document that is read back must be the one that was sent, to the byte.
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

// A damaged document is an error, not an empty catalog.
func TestUnpackRefusesDamage(t *testing.T) {
	packed, err := Pack([]byte("document"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(packed[:len(packed)-4]); err == nil {
		t.Fatal("a cut document is unpacked")
	}
	if _, err := Unpack(nil); err == nil {
		t.Fatal("an empty document is unpacked")
	}
}

// Requests are divided by weight, and a service of weight 0 gets none.
func TestChooseByWeight(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"none", 0}, {"b", 10}}}
	for at, want := range map[float64]string{0: "a", 0.89: "a", 0.901: "b", 0.999: "b"} {
		if got := r.Choose(at); got != want {
			t.Errorf("%v: %q, want %q", at, got, want)
		}
	}
}

// The longest prefix wins whatever the order of the routes, and hosts are
// compared without case and port.
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
		t.Errorf("a path without a route: %+v", r)
	}
}
