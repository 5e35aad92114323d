package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

const (
	// founders is the number of control VMs of a deployment, as on both sites.
	founders = 5
	// sideBySide is the number of deployments that start at the same time, and firstStartsTime
	// the time in which a further group of them may begin.
	sideBySide      = 6
	firstStartsTime = 85 * time.Second
	// formTime is the time between the start of the VMs and the first manifest, which comes
	// before traffic: that starts 10 s after the machines.
	formTime = 6 * time.Second
	// changes is the number of manifests that the operator sends, one after the other.
	changes = 5
	// putTimeout bounds the time in which one of them has to be acknowledged.
	putTimeout = 15 * time.Second
	// applyTime is configApplyMs of the deployment, and a little more.
	applyTime = 2200 * time.Millisecond
)

// firstStart checks that a deployment that starts for the first time has one newest manifest.
// With trouble each control VM has the same three seeds in another order. One group of
// deployments after the other is started, until one breaks the rule.
func firstStart(rec *record, trouble bool) (outcome, error) {
	begun, count := time.Now(), 0
	for time.Since(begun) < firstStartsTime {
		var group sync.WaitGroup
		broken, failed := make([]string, sideBySide), make([]error, sideBySide)
		for i := range sideBySide {
			group.Go(func() { broken[i], failed[i] = startOnce(rec, count+i+1, trouble) })
		}
		group.Wait()
		count += sideBySide
		if err := errors.Join(failed...); err != nil {
			return outcome{}, err
		}
		if why := strings.Join(broken, ""); why != "" {
			return outcome{broken: true, why: fmt.Sprintf("within %d first starts: %s", count, why)}, nil
		}
	}
	return outcome{why: fmt.Sprintf("in %d first starts each VM that answered a read had the newest acknowledged manifest", count)}, nil
}

// startOnce starts one deployment and returns what broke the rule, or "".
func startOnce(all *record, number int, trouble bool) (string, error) {
	rec := all.named(fmt.Sprintf("deployment %d: ", number))
	f, err := newFleet(rec, founders, 0)
	if err != nil {
		return "", err
	}
	setRunning(f)
	defer f.stop()
	for i, p := range f.control {
		if trouble {
			p.settings.Seeds = rotated(p.settings.Seeds, i)
		}
	}
	for _, p := range f.all() {
		rec.add("%s gets the seeds %v", p.settings.VM, hostsOf(p.settings.Seeds))
		if err := f.startVM(p); err != nil {
			return "", err
		}
	}
	time.Sleep(formTime)
	operator := standin.Operator{HTTP: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for version := uint64(1); version <= changes; version++ {
		if err := f.putFrom(operator, int(version), standin.Catalog(version, apiKey), version); err != nil {
			return "", err
		}
	}
	time.Sleep(applyTime)
	if why := f.readAll(operator, changes); why != "" {
		return fmt.Sprintf("deployment %d: %s", number, why), nil
	}
	return "", nil
}

func rotated(seeds []string, by int) []string {
	by %= len(seeds)
	return append(slices.Clone(seeds[by:]), seeds[:by]...)
}

// hostsOf returns the last octets of addresses.
func hostsOf(addresses []string) []string {
	var out []string
	for _, a := range addresses {
		out = append(out, a[strings.LastIndexByte(a, '.')+1:])
	}
	return out
}

// putFrom sends a manifest to a control VM, and to the next one after each failure, until one
// acknowledges it.
func (f *fleet) putFrom(operator standin.Operator, at int, document []byte, version uint64) error {
	err := waitFor(putTimeout, func() bool {
		p := f.control[at%len(f.control)]
		at++
		status, err := operator.Put(p.settings.IP, document)
		f.record.add("manifest %d sent to %s: status %d, error %v", version, p.settings.VM, status, err)
		return err == nil && status == http.StatusOK
	})
	if err != nil {
		return fmt.Errorf("manifest %d was not acknowledged: %w", version, err)
	}
	return nil
}

// readAll reads the manifest at each control VM. It returns which of them answered with an
// older version than the newest acknowledged one, or "".
func (f *fleet) readAll(operator standin.Operator, newest uint64) string {
	older := ""
	for _, p := range f.control {
		status, version, err := operator.Get(p.settings.IP)
		f.record.add("read at %s: status %d, version %d, error %v, leads: %v", p.settings.VM, status, version, err, leads(p))
		if err == nil && status == http.StatusOK && version < newest {
			older += fmt.Sprintf("%s answers a read with version %d, %d is acknowledged; ", p.settings.VM, version, newest)
		}
	}
	return older
}
