package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// manifest is the operator's document.
type manifest map[string]any

// newManifest returns a manifest with one plain service and its idempotent route, whose
// figures are those of the status lookups on the users' sheets.
func newManifest(version int, tenants ...any) manifest {
	if len(tenants) == 0 {
		tenants = []any{tenant("t1")}
	}
	return manifest{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lookup", "host": lookupHost, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 2500, "goalMs": 150, "priority": 1,
			"service": lookupService, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": lookupService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

const (
	lookupHost    = "lookup.example"
	lookupService = "ledger"
	lookupTimeout = 2500 * time.Millisecond
)

func tenant(name string) map[string]any {
	return map[string]any{"name": name, "keys": []string{keyOf(name)}, "priority": 1, "unit": "requests", "ratePerS": 0, "burst": 0}
}

func keyOf(tenant string) string { return "key-of-" + tenant }

func (m manifest) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // plain values always encode
	}
	return data
}

// put sends a manifest to one machine.
func (w *world) put(to *machine, m manifest) (status int, err error) {
	r, err := http.NewRequest(http.MethodPut, w.configurationURL(to), bytes.NewReader(m.encode()))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
	if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s", bytes.TrimSpace(text))
	}
	return resp.StatusCode, err
}

func (w *world) configurationURL(m *machine) string {
	return fmt.Sprintf("http://%s:%d/v1/configuration", m.ip, w.ports.control)
}

// putUntilAcked sends a manifest to one machine after the other until it is acknowledged,
// and returns the one that did.
func (w *world) putUntilAcked(m manifest, timeout time.Duration, to ...*machine) (*machine, error) {
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		target := to[i%len(to)]
		status, err := w.put(target, m)
		w.rec.addf("operator sends version %v to %s: %d %v", m["version"], target.name, status, err)
		if status == http.StatusOK {
			return target, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("%w: no ack of version %v within %v", errNotRun, m["version"], timeout)
}

// read reads the manifest back from one machine and returns its version.
func (w *world) read(from *machine) (version int, status int, err error) {
	resp, err := w.client.Get(w.configurationURL(from))
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, resp.StatusCode, err
	}
	var document struct{ Version int }
	err = json.Unmarshal(data, &document)
	return document.Version, resp.StatusCode, err
}
