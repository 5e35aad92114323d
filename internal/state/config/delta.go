package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Delta returns the difference that turns old into new. It holds the whole new
// document if there is no old one or if the platform settings were removed,
// which upserts cannot express.
func Delta(old, new *statev1.Config) *statev1.ConfigDelta {
	d := &statev1.ConfigDelta{FromVersion: old.GetVersion(), ToVersion: new.GetVersion()}
	if old.GetVersion() == 0 || (old.GetPlatform() != nil && new.GetPlatform() == nil) {
		d.Full = new
		return d
	}
	up := &statev1.Config{}
	up.Profiles = diff(d, statev1.ResourceKind_RESOURCE_KIND_PROFILE, old.GetProfiles(), new.GetProfiles())
	up.Routes = diff(d, statev1.ResourceKind_RESOURCE_KIND_ROUTE, old.GetRoutes(), new.GetRoutes())
	up.Customers = diff(d, statev1.ResourceKind_RESOURCE_KIND_CUSTOMER, old.GetCustomers(), new.GetCustomers())
	up.Models = diff(d, statev1.ResourceKind_RESOURCE_KIND_MODEL, old.GetModels(), new.GetModels())
	up.Endpoints = diff(d, statev1.ResourceKind_RESOURCE_KIND_ENDPOINT, old.GetEndpoints(), new.GetEndpoints())
	up.Keys = diff(d, statev1.ResourceKind_RESOURCE_KIND_KEY, old.GetKeys(), new.GetKeys())
	if !proto.Equal(old.GetPlatform(), new.GetPlatform()) {
		up.Platform = new.GetPlatform()
	}
	d.Upserts = up
	return d
}

// ApplyDelta returns the document that results from applying the delta to old.
// The result is a new document that shares unchanged resources with old.
func ApplyDelta(old *statev1.Config, d *statev1.ConfigDelta) (*statev1.Config, error) {
	if d.GetFull() != nil {
		next := shallowCopy(d.GetFull())
		sortAll(next)
		next.Version = d.GetToVersion()
		return next, nil
	}
	if d.GetFromVersion() != old.GetVersion() {
		return nil, fmt.Errorf("delta starts at version %d, but the document has version %d", d.GetFromVersion(), old.GetVersion())
	}
	if d.GetToVersion() < d.GetFromVersion() {
		return nil, fmt.Errorf("delta decreases the version from %d to %d", d.GetFromVersion(), d.GetToVersion())
	}
	next := shallowCopy(old)
	applyUpserts(next, d.GetUpserts())
	applyRemoved(next, d.GetRemoved())
	next.Version = d.GetToVersion()
	return next, nil
}

// DeltaForResources returns the delta from a version to c, limited to the
// platform settings and the named resources: those that exist in c are upserted
// and the others removed.
func DeltaForResources(c *statev1.Config, from uint64, changed []*statev1.ResourceName) *statev1.ConfigDelta {
	d := &statev1.ConfigDelta{FromVersion: from, ToVersion: c.GetVersion(), Upserts: &statev1.Config{Platform: c.GetPlatform()}}
	for _, r := range changed {
		if !contains(c, r) {
			d.Removed = append(d.Removed, r)
			continue
		}
		switch r.GetKind() {
		case statev1.ResourceKind_RESOURCE_KIND_PROFILE:
			d.Upserts.Profiles = append(d.Upserts.Profiles, find(c.GetProfiles(), r.GetName()))
		case statev1.ResourceKind_RESOURCE_KIND_ROUTE:
			d.Upserts.Routes = append(d.Upserts.Routes, find(c.GetRoutes(), r.GetName()))
		case statev1.ResourceKind_RESOURCE_KIND_CUSTOMER:
			d.Upserts.Customers = append(d.Upserts.Customers, find(c.GetCustomers(), r.GetName()))
		case statev1.ResourceKind_RESOURCE_KIND_MODEL:
			d.Upserts.Models = append(d.Upserts.Models, find(c.GetModels(), r.GetName()))
		case statev1.ResourceKind_RESOURCE_KIND_ENDPOINT:
			d.Upserts.Endpoints = append(d.Upserts.Endpoints, find(c.GetEndpoints(), r.GetName()))
		case statev1.ResourceKind_RESOURCE_KIND_KEY:
			d.Upserts.Keys = append(d.Upserts.Keys, find(c.GetKeys(), r.GetName()))
		}
	}
	return d
}

// ChangedResources returns the names of the resources that a delta upserts or
// removes. The result is empty for a delta that holds the whole document.
func ChangedResources(d *statev1.ConfigDelta) []*statev1.ResourceName {
	up := d.GetUpserts()
	out := d.GetRemoved()[:len(d.GetRemoved()):len(d.GetRemoved())]
	out = appendNames(out, statev1.ResourceKind_RESOURCE_KIND_PROFILE, up.GetProfiles())
	out = appendNames(out, statev1.ResourceKind_RESOURCE_KIND_ROUTE, up.GetRoutes())
	out = appendNames(out, statev1.ResourceKind_RESOURCE_KIND_CUSTOMER, up.GetCustomers())
	out = appendNames(out, statev1.ResourceKind_RESOURCE_KIND_MODEL, up.GetModels())
	out = appendNames(out, statev1.ResourceKind_RESOURCE_KIND_ENDPOINT, up.GetEndpoints())
	out = appendNames(out, statev1.ResourceKind_RESOURCE_KIND_KEY, up.GetKeys())
	return out
}

func appendNames[T resource](out []*statev1.ResourceName, kind statev1.ResourceKind, list []T) []*statev1.ResourceName {
	for _, r := range list {
		out = append(out, &statev1.ResourceName{Kind: kind, Name: nameOf(r)})
	}
	return out
}

// diff returns the resources that are new or changed, and records removals in
// the delta. Both lists are sorted by name.
func diff[T resource](d *statev1.ConfigDelta, kind statev1.ResourceKind, old, new []T) []T {
	var changed []T
	i := 0
	for _, n := range new {
		for i < len(old) && nameOf(old[i]) < nameOf(n) {
			d.Removed = append(d.Removed, &statev1.ResourceName{Kind: kind, Name: nameOf(old[i])})
			i++
		}
		if i < len(old) && nameOf(old[i]) == nameOf(n) {
			if old[i] != n && !proto.Equal(old[i], n) {
				changed = append(changed, n)
			}
			i++
			continue
		}
		changed = append(changed, n)
	}
	for ; i < len(old); i++ {
		d.Removed = append(d.Removed, &statev1.ResourceName{Kind: kind, Name: nameOf(old[i])})
	}
	return changed
}
