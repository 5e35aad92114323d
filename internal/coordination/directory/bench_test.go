package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// BenchmarkPlan measures one planning round on the users' larger deployment under
// overload, when most models need further replicas.
func BenchmarkPlan(b *testing.B) {
	const engines, models = 112, 191
	s := &catalog.Service{Name: "s", Engine: &catalog.Engine{MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 16, Slots: 12}}
	for i := range models {
		s.Engine.Models = append(s.Engine.Models, catalog.Model{Name: fmt.Sprint("m", i), MemoryMB: 65_000, LoadTime: 8 * time.Second})
	}
	p := NewPlanner(0)
	var list []Endpoint
	for i := range engines {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: "a", Slots: 12})
	}
	p.SetEndpoints(list)
	now := 5 * time.Second
	for i := range engines {
		p.RecordReport(now, now, list[i].ID, Report{Models: []Resident{{Model: fmt.Sprint("m", i%models)}, {Model: fmt.Sprint("m", (i+100)%models)}}})
	}
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		for i := range models {
			p.RecordDemand(now, "entry", fmt.Sprint("m", i), 1, 20, 0)
		}
		p.Plan(now, s)
	}
}
