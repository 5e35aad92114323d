// Package enginejson defines the JSON documents of the engine protocol, which is
// described in docs/engine-protocol.md.
package enginejson

import "github.com/radishloom/radishloom/internal/coordination/engine"

// LoadReport is the JSON form of engine.Load.
type LoadReport struct {
	Running      int              `json:"running"`
	Waiting      int              `json:"waiting"`
	Slots        int              `json:"slots"`
	Resident     []ResidentReport `json:"resident,omitempty"`
	Adapters     []string         `json:"adapters,omitempty"`
	Leaving      bool             `json:"leaving,omitempty"`
	FencingToken uint64           `json:"fencing_token,omitempty"`
}

// ResidentReport is the JSON form of engine.ResidentModel.
type ResidentReport struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	MemoryMB uint64 `json:"memory_mb"`
	Ready    bool   `json:"ready"`
}

// CacheReport is the JSON form of a list of cache events.
type CacheReport struct {
	Events []CacheEntry `json:"events"`
}

// CacheEntry is the JSON form of engine.CacheEvent.
type CacheEntry struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix,string"`
	Evicted bool   `json:"evicted,omitempty"`
}

// OrderDocument is the JSON form of engine.Order.
type OrderDocument struct {
	ID           uint64 `json:"id,string"`
	FencingToken uint64 `json:"fencing_token,string"`
	LifetimeMS   int64  `json:"lifetime_ms"`
	Kind         string `json:"kind"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	MemoryMB     uint64 `json:"memory_mb,omitempty"`
}

// Error types in an engine's refusal of an order.
const (
	OrderFencingTokenOld = "fencing_token_old"
	OrderOutOfMemory     = "out_of_memory"
	OrderExpired         = "expired"
)

// KindName returns the protocol's name of an order kind, or "" if the kind is
// unknown.
func KindName(k engine.OrderKind) string {
	switch k {
	case engine.LoadModel:
		return "load_model"
	case engine.UnloadModel:
		return "unload_model"
	case engine.LoadAdapter:
		return "load_adapter"
	case engine.UnloadAdapter:
		return "unload_adapter"
	case engine.SetRole:
		return "set_role"
	default:
		return ""
	}
}

// Load converts the report to an engine.Load.
func (r *LoadReport) Load() *engine.Load {
	out := &engine.Load{
		Running: r.Running, Waiting: r.Waiting, Slots: r.Slots,
		Adapters: r.Adapters, Leaving: r.Leaving, FencingToken: r.FencingToken,
	}
	for _, m := range r.Resident {
		out.Resident = append(out.Resident, engine.ResidentModel(m))
	}
	return out
}
