package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"sync"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

// secretOf is the key text of a customer; the fakes search for it.
func secretOf(customer string) string { return "rl_" + customer + "_key-secret" }

func testKey(customer string) *statev1.Key {
	sum := sha256.Sum256([]byte(secretOf(customer)))
	return &statev1.Key{Id: customer, Customer: customer, SecretSha256: sum[:]}
}

// fakeReplica holds one lease for each customer.
type fakeReplica struct {
	mu      sync.Mutex
	index   *config.Index
	fresh   bool
	level   map[string]uint64
	arrived chan struct{}
	charged map[string]uint64
	propose func(c *statev1.Command) (*statev1.Result, error)
	suspect []*statev1.Suspect
}

func newFakeReplica(c *statev1.Config) *fakeReplica {
	return &fakeReplica{
		index: config.NewIndex(c), fresh: true, level: map[string]uint64{},
		arrived: make(chan struct{}), charged: map[string]uint64{},
	}
}

func (r *fakeReplica) Index() *config.Index {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index
}

func (r *fakeReplica) Fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh
}

func (r *fakeReplica) Propose(_ context.Context, c *statev1.Command) (*statev1.Result, error) {
	return r.propose(c)
}

func (r *fakeReplica) Session() *statev1.Session    { return &statev1.Session{Vm: "vm", Incarnation: "1"} }
func (r *fakeReplica) Suspects() []*statev1.Suspect { return r.suspect }
func (r *fakeReplica) Residency() map[string]*peerv1.EndpointResidency {
	return nil
}
func (r *fakeReplica) LiveEntries() int { return 1 }

func (r *fakeReplica) Charge(customer string, tokens uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.charged[customer] += tokens
}

func (r *fakeReplica) Hold(customer string, tokens uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.level[customer] < tokens {
		return false
	}
	r.level[customer] -= tokens
	return true
}

func (r *fakeReplica) Release(customer string, held, charged uint64) { r.grant(customer, held-charged) }

func (r *fakeReplica) grant(customer string, tokens uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.level[customer] += tokens
	close(r.arrived)
	r.arrived = make(chan struct{})
}
func (r *fakeReplica) Want(string, uint64) {}
func (r *fakeReplica) TokensArrived() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}
func (r *fakeReplica) Demand(*peerv1.ModelDemand) {}

// recorder is a ResponseWriter that keeps what was written.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	events  []string
	fail    error
	onWrite func()
}

func (w *recorder) Start(status int, header http.Header) error {
	w.status, w.header = status, header
	return w.fail
}

func (w *recorder) Event(data []byte) error {
	w.events = append(w.events, string(data))
	if w.onWrite != nil {
		w.onWrite()
	}
	return w.fail
}

func (w *recorder) Write(p []byte) error {
	w.body.Write(p)
	return w.fail
}

func testConfig() *statev1.Config {
	return &statev1.Config{
		Version:   1,
		Profiles:  []*statev1.Profile{{Name: "normal", DeadlineMs: 30000, SilenceMs: 2000}},
		Customers: []*statev1.Customer{{Name: "a", RateTokensPerSecond: 1000, BurstTokens: 1000}, {Name: "b", RateTokensPerSecond: 1000, BurstTokens: 1000}},
		Models:    []*statev1.Model{{Name: "m"}},
		Keys:      []*statev1.Key{testKey("a"), testKey("b")},
		Routes: []*statev1.Route{
			{Name: "chat", Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: "m", Profile: "normal", Idempotent: true},
			{Name: "open", Kind: statev1.RouteKind_ROUTE_KIND_SERVICE, Pool: "web", Profile: "normal", Idempotent: true, Open: true},
			{Name: "pay", Kind: statev1.RouteKind_ROUTE_KIND_SERVICE, Pool: "web", Profile: "normal"},
		},
		Endpoints: []*statev1.Endpoint{
			{Name: "e1", Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "127.0.0.1:1", Slots: 2, PinnedModels: []string{"m"}},
			{Name: "e2", Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "127.0.0.1:2", Slots: 2, PinnedModels: []string{"m"}},
			{Name: "s1", Kind: statev1.EndpointKind_ENDPOINT_KIND_SERVICE, Address: "127.0.0.1:3", Slots: 2, Pool: "web"},
			{Name: "s2", Kind: statev1.EndpointKind_ENDPOINT_KIND_SERVICE, Address: "127.0.0.1:4", Slots: 2, Pool: "web"},
		},
	}
}

// closer counts Close.
type closer struct{ io.Reader }

func (closer) Close() error { return nil }
