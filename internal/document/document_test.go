package document

import (
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const broken = `
colour = "red"
version = "3"
[[routes]]
name = 7
kind = "modell"
key_headers = "X-Key"
[[customers]]
rate_tokens_per_second = -1
weight = 4294967296
rate = 1
[platform]
store_parallel_loads = 1.5
`

// Guards against a fault that hides another one, and against messages without
// the field, its value or the allowed values.
func TestFaults(t *testing.T) {
	_, err := Parse([]byte(broken), false)
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want Faults", err)
	}
	for _, want := range []string{
		`colour = "red": allowed: a field of Config: version, profiles, `,
		`version = "3": allowed: a whole number from 0 to 18446744073709551615`,
		`routes[0].name = 7: allowed: a string`,
		`routes[0].kind = "modell": allowed: "model" or "service"`,
		`routes[0].key_headers = "X-Key": allowed: a list`,
		`customers[0].rate_tokens_per_second = -1: allowed: a whole number from 0 to`,
		`customers[0].weight = 4294967296: allowed: a whole number from 0 to 4294967295`,
		`customers[0].rate = 1: allowed: a field of Customer: name, `,
		`platform.store_parallel_loads = 1.5: allowed: a whole number`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in:\n%v", want, err)
		}
	}
	if len(faults) != 9 {
		t.Errorf("%d faults, want 9:\n%v", len(faults), err)
	}
}

// Guards against a document that changes when it is written as TOML or JSON and
// read back.
func TestRoundTrip(t *testing.T) {
	c := &statev1.Config{
		Version:   1 << 60,
		Profiles:  []*statev1.Profile{{Name: "p", Priority: -3}},
		Routes:    []*statev1.Route{{Name: "r", Kind: statev1.RouteKind_ROUTE_KIND_SERVICE, KeyHeaders: []string{"A", "B"}, Open: true}},
		Customers: []*statev1.Customer{{Name: "c", RateTokensPerSecond: 1 << 62}},
		Platform:  &statev1.Platform{StoreParallelLoads: 4},
	}
	for _, isJSON := range []bool{false, true} {
		write := TOML
		if isJSON {
			write = JSON
		}
		data, err := write(c)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Parse(data, isJSON)
		if err != nil || !proto.Equal(c, got) {
			t.Errorf("%s\nread as %v (%v)", data, got, err)
		}
	}
	if _, err := Parse([]byte(`{} {}`), true); err == nil {
		t.Error("text after a JSON document is accepted")
	}
}

// Guards against fields that the command-line tool cannot set or sets to another
// value, and against invalid values that it accepts.
func TestSet(t *testing.T) {
	r := &statev1.Route{Pool: "old"}
	for _, set := range [][2]string{{"kind", "model"}, {"open", "true"}, {"key_cookies", "a,b"}, {"max_body_bytes", "77"}, {"pool", ""}} {
		if err := Set(r, set[0], set[1]); err != nil {
			t.Errorf("%v: %v", set, err)
		}
	}
	want := &statev1.Route{Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Open: true, KeyCookies: []string{"a", "b"}, MaxBodyBytes: 77}
	if !proto.Equal(r, want) {
		t.Errorf("got %v", r)
	}
	for _, set := range [][2]string{{"kind", "x"}, {"open", "yes"}, {"max_body_bytes", "1 MB"}, {"colour", "red"}} {
		if err := Set(r, set[0], set[1]); err == nil {
			t.Errorf("%v is accepted", set)
		}
	}
}
