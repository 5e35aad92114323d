package config

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// ApplyChange returns the document that results from applying the change to old,
// with the next version. Upserts are applied before removals. The result is not
// validated.
//
// A key without a secret hash gets the hash of the existing key with the same
// identifier, so that a document that was read without hashes can be applied.
func ApplyChange(old *statev1.Config, ch *statev1.ConfigChange) *statev1.Config {
	next := baseDocument(old, ch.GetReplace())
	applyUpserts(next, ch.GetUpserts())
	applyRemoved(next, ch.GetRemoved())
	next.Keys = fillKeyHashes(old.GetKeys(), next.GetKeys())
	next.Version = old.GetVersion() + 1
	return next
}

// Rollback returns a successor of the present document with the contents of
// target. Keys are not rolled back, so that a revoked key never becomes valid
// again.
func Rollback(present, target *statev1.Config) *statev1.Config {
	next := WithKeys(target, present.GetKeys())
	next.Version = present.GetVersion() + 1
	return next
}

// WithKeys returns a copy of the document with the given keys. The copy shares
// the other resources with c.
func WithKeys(c *statev1.Config, keys []*statev1.Key) *statev1.Config {
	next := shallowCopy(c)
	next.Keys = keys
	return next
}

// MissingRemovals returns the names in a change's removals that exist neither in
// the document that the change starts from nor in the change's own upserts.
func MissingRemovals(old *statev1.Config, ch *statev1.ConfigChange) []*statev1.ResourceName {
	var missing []*statev1.ResourceName
	before := baseDocument(old, ch.GetReplace())
	applyUpserts(before, ch.GetUpserts())
	for _, r := range ch.GetRemoved() {
		if !contains(before, r) {
			missing = append(missing, r)
		}
	}
	return missing
}

// baseDocument returns the document that a change starts from: a copy of its
// replacement if it has one, otherwise of old. A replacement without keys keeps
// the keys of old.
func baseDocument(old, replace *statev1.Config) *statev1.Config {
	if replace == nil {
		return shallowCopy(old)
	}
	next := shallowCopy(proto.CloneOf(replace))
	if len(next.GetKeys()) == 0 {
		next.Keys = old.GetKeys()
	}
	sortAll(next)
	return next
}

// shallowCopy copies the document but not its resources.
func shallowCopy(c *statev1.Config) *statev1.Config {
	return &statev1.Config{
		Version:   c.GetVersion(),
		Profiles:  c.GetProfiles(),
		Routes:    c.GetRoutes(),
		Customers: c.GetCustomers(),
		Models:    c.GetModels(),
		Endpoints: c.GetEndpoints(),
		Keys:      c.GetKeys(),
		Platform:  c.GetPlatform(),
	}
}

func sortAll(c *statev1.Config) {
	c.Profiles = sorted(c.GetProfiles())
	c.Routes = sorted(c.GetRoutes())
	c.Customers = sorted(c.GetCustomers())
	c.Models = sorted(c.GetModels())
	c.Endpoints = sorted(c.GetEndpoints())
	c.Keys = sorted(c.GetKeys())
}

func applyUpserts(c, upserts *statev1.Config) {
	c.Profiles = upsert(c.GetProfiles(), upserts.GetProfiles())
	c.Routes = upsert(c.GetRoutes(), upserts.GetRoutes())
	c.Customers = upsert(c.GetCustomers(), upserts.GetCustomers())
	c.Models = upsert(c.GetModels(), upserts.GetModels())
	c.Endpoints = upsert(c.GetEndpoints(), upserts.GetEndpoints())
	c.Keys = upsert(c.GetKeys(), upserts.GetKeys())
	if upserts.GetPlatform() != nil {
		c.Platform = upserts.GetPlatform()
	}
}

func applyRemoved(c *statev1.Config, removed []*statev1.ResourceName) {
	byKind := map[statev1.ResourceKind]map[string]bool{}
	for _, r := range removed {
		if byKind[r.GetKind()] == nil {
			byKind[r.GetKind()] = map[string]bool{}
		}
		byKind[r.GetKind()][r.GetName()] = true
	}
	c.Profiles = removeNamed(c.GetProfiles(), byKind[statev1.ResourceKind_RESOURCE_KIND_PROFILE])
	c.Routes = removeNamed(c.GetRoutes(), byKind[statev1.ResourceKind_RESOURCE_KIND_ROUTE])
	c.Customers = removeNamed(c.GetCustomers(), byKind[statev1.ResourceKind_RESOURCE_KIND_CUSTOMER])
	c.Models = removeNamed(c.GetModels(), byKind[statev1.ResourceKind_RESOURCE_KIND_MODEL])
	c.Endpoints = removeNamed(c.GetEndpoints(), byKind[statev1.ResourceKind_RESOURCE_KIND_ENDPOINT])
	c.Keys = removeNamed(c.GetKeys(), byKind[statev1.ResourceKind_RESOURCE_KIND_KEY])
}

func contains(c *statev1.Config, r *statev1.ResourceName) bool {
	switch r.GetKind() {
	case statev1.ResourceKind_RESOURCE_KIND_PROFILE:
		return find(c.GetProfiles(), r.GetName()) != nil
	case statev1.ResourceKind_RESOURCE_KIND_ROUTE:
		return find(c.GetRoutes(), r.GetName()) != nil
	case statev1.ResourceKind_RESOURCE_KIND_CUSTOMER:
		return find(c.GetCustomers(), r.GetName()) != nil
	case statev1.ResourceKind_RESOURCE_KIND_MODEL:
		return find(c.GetModels(), r.GetName()) != nil
	case statev1.ResourceKind_RESOURCE_KIND_ENDPOINT:
		return find(c.GetEndpoints(), r.GetName()) != nil
	case statev1.ResourceKind_RESOURCE_KIND_KEY:
		return find(c.GetKeys(), r.GetName()) != nil
	default:
		return false
	}
}

// fillKeyHashes returns keys with each missing secret hash copied from the key in
// old with the same identifier.
func fillKeyHashes(old, keys []*statev1.Key) []*statev1.Key {
	var out []*statev1.Key
	for i, k := range keys {
		if len(k.GetSecretSha256()) != 0 {
			continue
		}
		present := find(old, k.GetId())
		if present == nil {
			continue
		}
		if out == nil {
			out = slices.Clone(keys)
		}
		filled := proto.CloneOf(k)
		filled.SecretSha256 = present.GetSecretSha256()
		out[i] = filled
	}
	if out == nil {
		return keys
	}
	return out
}

// resource is the constraint for the named resources of a document.
type resource interface {
	comparable
	proto.Message
}

// nameOf returns the name of a resource; a key's name is its identifier.
func nameOf(r any) string {
	switch r := r.(type) {
	case *statev1.Key:
		return r.GetId()
	case interface{ GetName() string }:
		return r.GetName()
	default:
		return ""
	}
}

func compareNames[T resource](a, b T) int { return cmp.Compare(nameOf(a), nameOf(b)) }

func sorted[T resource](list []T) []T {
	if slices.IsSortedFunc(list, compareNames[T]) {
		return list
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, compareNames[T])
	return out
}

// find looks up a name in a sorted list.
func find[T resource](list []T, name string) T {
	i, ok := slices.BinarySearchFunc(list, name, func(r T, n string) int { return cmp.Compare(nameOf(r), n) })
	if !ok {
		var zero T
		return zero
	}
	return list[i]
}

// upsert returns list with the changed resources inserted or replaced, sorted by
// name. Of two changed resources with the same name, the last one wins.
func upsert[T resource](list, changed []T) []T {
	if len(changed) == 0 {
		return list
	}
	byName := make(map[string]T, len(changed))
	for _, r := range changed {
		byName[nameOf(r)] = r
	}
	out := make([]T, 0, len(list)+len(byName))
	for _, r := range list {
		if n, ok := byName[nameOf(r)]; ok {
			r = n
			delete(byName, nameOf(n))
		}
		out = append(out, r)
	}
	for _, r := range changed {
		if byName[nameOf(r)] == r {
			out = append(out, r)
		}
	}
	return sorted(out)
}

func removeNamed[T resource](list []T, removed map[string]bool) []T {
	if len(removed) == 0 {
		return list
	}
	out := make([]T, 0, len(list))
	for _, r := range list {
		if !removed[nameOf(r)] {
			out = append(out, r)
		}
	}
	return out
}
