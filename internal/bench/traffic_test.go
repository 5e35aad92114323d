package bench

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/state/config"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Guards against runs with the same seed that send different traffic, which would
// make their results incomparable, and against requests marked as within their
// customer's rate although together they exceed it.
func TestTraffic(t *testing.T) {
	const length = 9 * time.Second
	for _, s := range Scenarios() {
		runConfig := RunConfig{Deployment: Lima(), Scenario: s, Length: length, Seed: 7, Utilisation: 0.6}
		other := runConfig
		other.Seed = 8
		a, b := newTraffic(runConfig), newTraffic(runConfig)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: the same seed gave different traffic", s)
		}
		if reflect.DeepEqual(a, newTraffic(other)) {
			t.Errorf("%s: another seed gave the same traffic", s)
		}
		tokens := make([]float64, len(customers()))
		for _, r := range a.requests {
			if r.withinRate && r.kind == modelRequest {
				tokens[r.customer] += float64(r.promptTokens + r.outputTokens)
			}
		}
		for c, share := range customers() {
			if limit := share * a.rate * (length.Seconds() + burstSeconds); tokens[c] > limit {
				t.Errorf("%s: %s has requests of %v tokens marked as within its rate, which allows %v", s, customerName(c), tokens[c], limit)
			}
		}
	}
}

// Guards against deployments whose configuration is invalid, and against models
// without a second replica to retry on.
func TestDeployments(t *testing.T) {
	for _, d := range []Deployment{North(), Lima()} {
		addresses := make([]string, d.Engines+d.Services)
		for i := range addresses {
			addresses[i] = fmt.Sprint("127.0.0.1:", i+1)
		}
		var keys []*statev1.Key
		for c := range customers() {
			_, key, err := config.NewKey(fixedReader{byte(c + 1)}, customerName(c), "")
			if err != nil {
				t.Fatal(err)
			}
			keys = append(keys, key)
		}
		if faults := config.Validate(d.document(addresses, addresses[d.Engines:], keys, 1000, entry.Baseline{})); len(faults) > 0 {
			t.Errorf("configuration of deployment %s is invalid: %v", d.Name, faults)
		}
		for m := range d.Models {
			replicas := 0
			for _, held := range d.placeModels() {
				if slices.Contains(held, m) {
					replicas++
				}
			}
			if replicas < 2 {
				t.Errorf("%s: %s has %d replicas, want at least 2", d.Name, modelName(m), replicas)
			}
		}
	}
}
