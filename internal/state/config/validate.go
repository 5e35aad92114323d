// Package config validates, changes and indexes the configuration document.
//
// A document is never modified once it has been accepted. ApplyChange and ApplyDelta
// return new documents that share unchanged resources with the old one.
// Resources are kept sorted by name.
package config

import (
	"fmt"
	"net/netip"
	"strings"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Limits of single fields.
const (
	maxNameLength = 64
	// maxRate and maxBurst keep the token accounts, which count thousandths of
	// a token, far below the 64-bit limit.
	maxRate  = 1_000_000_000
	maxBurst = 1_000_000_000_000
	// maxReservedPercent leaves some slots of every endpoint to lower
	// priorities, so that no configuration can starve a class of traffic.
	maxReservedPercent = 90
	maxPathLength      = 256
	maxDeadlineMs      = 24 * 60 * 60 * 1000
	secretHashBytes    = 32
)

const nameRule = "1 to 64 characters of a-z, 0-9, '-', '_' and '.'"

// Fault is one violation found in a document.
type Fault struct {
	// Field is the path of the field, for example routes[ledger].profile.
	Field string
	// Value is the offending value.
	Value string
	// Allowed describes the values that the field accepts.
	Allowed string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: value %q, allowed: %s", f.Field, f.Value, f.Allowed)
}

// FaultStrings returns the text of each fault.
func FaultStrings(faults []Fault) []string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.Error()
	}
	return out
}

// Validate checks the whole document and returns every fault in a stable
// order. An empty result means that the document is accepted.
func Validate(c *statev1.Config) []Fault {
	v := newValidator(c)
	v.checkProfiles()
	v.checkModels()
	v.checkEndpoints()
	v.checkCustomers()
	v.checkRoutes()
	v.checkKeys()
	v.checkCapacity()
	return v.faults
}

type validator struct {
	config    *statev1.Config
	faults    []Fault
	profiles  map[string]bool
	models    map[string]*statev1.Model
	customers map[string]bool
	pools     map[string]bool
}

func newValidator(c *statev1.Config) *validator {
	v := &validator{
		config:    c,
		profiles:  make(map[string]bool, len(c.GetProfiles())),
		models:    make(map[string]*statev1.Model, len(c.GetModels())),
		customers: make(map[string]bool, len(c.GetCustomers())),
		pools:     make(map[string]bool),
	}
	for _, p := range c.GetProfiles() {
		v.profiles[p.GetName()] = true
	}
	for _, m := range c.GetModels() {
		v.models[m.GetName()] = m
	}
	for _, cu := range c.GetCustomers() {
		v.customers[cu.GetName()] = true
	}
	for _, e := range c.GetEndpoints() {
		if e.GetKind() == statev1.EndpointKind_ENDPOINT_KIND_SERVICE {
			v.pools[e.GetPool()] = true
		}
	}
	return v
}

func (v *validator) add(field string, value any, allowed string) {
	v.faults = append(v.faults, Fault{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}

// ValidName reports whether a resource may have this name.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i := range len(name) {
		b := name[i]
		switch {
		case b >= 'a' && b <= 'z', b >= '0' && b <= '9', b == '-', b == '_', b == '.':
		default:
			return false
		}
	}
	return true
}

// checkNames checks the names of one kind of resource and returns the field path
// of each, for example routes[ledger].
func checkNames[T any](v *validator, kind, field string, list []T, name func(T) string) []string {
	paths := make([]string, len(list))
	seen := make(map[string]bool, len(list))
	for i, r := range list {
		n := name(r)
		paths[i] = fmt.Sprintf("%s[%s]", kind, n)
		switch {
		case !ValidName(n):
			paths[i] = fmt.Sprintf("%s[#%d]", kind, i)
			v.add(paths[i]+"."+field, n, nameRule)
		case seen[n]:
			v.add(paths[i]+"."+field, n, "a name that is used once")
		}
		seen[n] = true
	}
	return paths
}

func (v *validator) checkProfiles() {
	list := v.config.GetProfiles()
	paths := checkNames(v, "profiles", "name", list, (*statev1.Profile).GetName)
	for i, p := range list {
		if p.GetDeadlineMs() == 0 || p.GetDeadlineMs() > maxDeadlineMs {
			v.add(paths[i]+".deadline_ms", p.GetDeadlineMs(), fmt.Sprintf("1 to %d", maxDeadlineMs))
		}
		if p.GetSilenceMs() == 0 || p.GetSilenceMs() > maxDeadlineMs {
			v.add(paths[i]+".silence_ms", p.GetSilenceMs(), fmt.Sprintf("1 to %d", maxDeadlineMs))
		}
		if p.GetFirstTokenMs() > p.GetDeadlineMs() {
			v.add(paths[i]+".first_token_ms", p.GetFirstTokenMs(), "at most deadline_ms")
		}
		if p.GetReservedSharePercent() > maxReservedPercent {
			v.add(paths[i]+".reserved_share_percent", p.GetReservedSharePercent(), fmt.Sprintf("0 to %d", maxReservedPercent))
		}
	}
}

func (v *validator) checkCustomers() {
	list := v.config.GetCustomers()
	paths := checkNames(v, "customers", "name", list, (*statev1.Customer).GetName)
	for i, c := range list {
		if c.GetRateTokensPerSecond() == 0 || c.GetRateTokensPerSecond() > maxRate {
			v.add(paths[i]+".rate_tokens_per_second", c.GetRateTokensPerSecond(), fmt.Sprintf("1 to %d", maxRate))
		}
		if c.GetBurstTokens() == 0 || c.GetBurstTokens() > maxBurst {
			v.add(paths[i]+".burst_tokens", c.GetBurstTokens(), fmt.Sprintf("1 to %d", maxBurst))
		}
	}
}

func (v *validator) checkKeys() {
	list := v.config.GetKeys()
	paths := checkNames(v, "keys", "id", list, (*statev1.Key).GetId)
	for i, k := range list {
		if !v.customers[k.GetCustomer()] {
			v.add(paths[i]+".customer", k.GetCustomer(), "the name of a customer")
		}
		if len(k.GetSecretSha256()) != secretHashBytes {
			// The value is not shown: it may be a secret pasted by mistake.
			v.add(paths[i]+".secret_sha256", fmt.Sprintf("%d bytes", len(k.GetSecretSha256())), "32 bytes, or unset for a present key")
		}
	}
}

func (v *validator) checkModels() {
	list := v.config.GetModels()
	paths := checkNames(v, "models", "name", list, (*statev1.Model).GetName)
	for i, m := range list {
		if m.GetVersion() != "" && !ValidName(m.GetVersion()) {
			v.add(paths[i]+".version", m.GetVersion(), "empty, or "+nameRule)
		}
		if m.GetMemoryMb() == 0 {
			v.add(paths[i]+".memory_mb", m.GetMemoryMb(), "at least 1")
		}
		v.checkNameList(paths[i]+".adapters", m.GetAdapters())
		v.checkNameList(paths[i]+".accelerator_types", m.GetAcceleratorTypes())
	}
}

func (v *validator) checkNameList(field string, list []string) {
	seen := make(map[string]bool, len(list))
	for _, n := range list {
		switch {
		case !ValidName(n):
			v.add(field, n, nameRule)
		case seen[n]:
			v.add(field, n, "each name once")
		}
		seen[n] = true
	}
}

func (v *validator) checkEndpoints() {
	list := v.config.GetEndpoints()
	paths := checkNames(v, "endpoints", "name", list, (*statev1.Endpoint).GetName)
	addresses := make(map[netip.AddrPort]string, len(list))
	for i, e := range list {
		addr, err := netip.ParseAddrPort(e.GetAddress())
		switch {
		case err != nil || addr.Port() == 0:
			v.add(paths[i]+".address", e.GetAddress(), "host:port with an IP address and a non-zero port")
		case addresses[addr] != "":
			v.add(paths[i]+".address", e.GetAddress(), "an address that no other endpoint has; "+addresses[addr]+" has it")
		default:
			addresses[addr] = paths[i]
		}
		if e.GetDataCentre() != "" && !ValidName(e.GetDataCentre()) {
			v.add(paths[i]+".data_centre", e.GetDataCentre(), "empty, or "+nameRule)
		}
		if e.GetSlots() == 0 {
			v.add(paths[i]+".slots", e.GetSlots(), "at least 1")
		}
		v.checkEndpointKind(paths[i], e)
	}
}

func (v *validator) checkEndpointKind(path string, e *statev1.Endpoint) {
	switch e.GetKind() {
	case statev1.EndpointKind_ENDPOINT_KIND_ENGINE:
		if e.GetPool() != "" {
			v.add(path+".pool", e.GetPool(), "empty for an engine")
		}
		if e.GetMemoryMb() == 0 {
			v.add(path+".memory_mb", e.GetMemoryMb(), "at least 1 for an engine")
		}
		if e.GetAcceleratorType() != "" && !ValidName(e.GetAcceleratorType()) {
			v.add(path+".accelerator_type", e.GetAcceleratorType(), "empty, or "+nameRule)
		}
	case statev1.EndpointKind_ENDPOINT_KIND_SERVICE:
		if !ValidName(e.GetPool()) {
			v.add(path+".pool", e.GetPool(), "for a service, "+nameRule)
		}
		if e.GetMemoryMb() != 0 {
			v.add(path+".memory_mb", e.GetMemoryMb(), "0 for a service")
		}
		if len(e.GetPinnedModels()) != 0 {
			v.add(path+".pinned_models", strings.Join(e.GetPinnedModels(), ","), "empty for a service")
		}
	default:
		v.add(path+".kind", e.GetKind(), "ENDPOINT_KIND_ENGINE or ENDPOINT_KIND_SERVICE")
	}
}
