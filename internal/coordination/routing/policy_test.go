package routing

import "testing"

// Guards against baseline policies that pick the wrong endpoint, or one without a
// free slot.
func TestBaselinePolicies(t *testing.T) {
	for policy, want := range map[Policy]string{RoundRobin: "bab", FewestInFlight: "bba"} {
		table := New(func(int) int { return 0 })
		table.Configure([]Spec{{Name: "a", Groups: []string{"g"}, Slots: 3}, {Name: "b", Groups: []string{"g"}, Slots: 2}}, 1, 0)
		table.SetPolicy(policy)
		if policy == FewestInFlight {
			table.Pick(0, Query{Group: "g", Exclude: []string{"b"}})
			table.Pick(0, Query{Group: "g", Exclude: []string{"b"}})
		}
		got := ""
		for range want {
			got += table.Pick(0, Query{Group: "g"}).Endpoint
		}
		if got != want {
			t.Errorf("policy %d picked %s, want %s", policy, got, want)
		}
		for table.Pick(0, Query{Group: "g"}) != nil {
			got += "."
		}
		for _, s := range table.Status() {
			if s.InFlight != s.Window {
				t.Errorf("policy %d: %+v: requests in flight do not fill the window exactly", policy, s)
			}
		}
	}
}
