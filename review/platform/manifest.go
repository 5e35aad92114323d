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
type manifest struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	GoalMs      int    `json:"goalMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapTargetMs int    `json:"gapTargetMs,omitempty"`
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
	// Engine is nil for a plain service.
	Engine *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots         int     `json:"slots"`
	KvCacheTokens int     `json:"kvCacheTokens"`
	KvTokenBytes  int     `json:"kvTokenBytes"`
	LinkMbps      float64 `json:"linkMbps"`
	Moves         bool    `json:"moves"`
	Backups       bool    `json:"backups"`
	Stride        int     `json:"stride"`
	MaxCount      int     `json:"maxCount"`
	HostMemoryMb  float64 `json:"hostMemoryMb"`
	DiskMb        float64 `json:"diskMb"`
	PinMs         float64 `json:"pinMs"`
	HoldMs        float64 `json:"holdMs"`
	HandleS       float64 `json:"handle_s"`
	Models        []model `json:"models"`
	WeightsMb     float64 `json:"weightsMb"`
	AdapterSlots  int     `json:"adapterSlots"`
	LoadsPerS     float64 `json:"loadsPerS"`
}

type model struct {
	Name      string  `json:"name"`
	WeightsMb float64 `json:"weightsMb"`
	LoadTimeS float64 `json:"loadTimeS"`
	Adapters  int     `json:"adapters"`
	AdapterMb float64 `json:"adapterMb"`
	WarmS     float64 `json:"warmS"`
	DiskLoadS float64 `json:"diskLoadS"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type tenant struct {
	Name        string   `json:"name"`
	Keys        []string `json:"keys"`
	Priority    int      `json:"priority"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plainTokens"`
	RatePerS    int      `json:"ratePerS"`
	Burst       int      `json:"burst"`
}

// Names of the stand-in deployment.
const (
	host         = "desk.example"
	tenantName   = "tenant-1"
	keyFirst     = "key-first"
	keySecond    = "key-second"
	maxBodyBytes = 4194304
)

// newManifest returns a manifest with the limits of the users' pages and one tenant,
// who has two keys.
func newManifest(version int, routes []route, services ...string) manifest {
	m := manifest{
		Version: version, Routes: routes,
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenant{{Name: tenantName, Keys: []string{keyFirst, keySecond}, Priority: 1, Unit: "tokens", PlainTokens: 200}},
	}
	for _, name := range services {
		m.Services = append(m.Services, service{Name: name, HealthPath: "/health", MaxConnections: 110, Protocol: "h1"})
	}
	return m
}

// put sends the manifest to a control machine once.
func (p *process) put(m manifest) (status int, err error) {
	document, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequest(http.MethodPut, p.controlURL(), bytes.NewReader(document))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func (p *process) controlURL() string {
	return fmt.Sprintf("http://%s:%d/v1/configuration", p.ip, p.world.ports.control)
}

// putUntilAcknowledged sends the manifest to one control machine after the other until
// it is acknowledged.
func (w *world) putUntilAcknowledged(m manifest, limit time.Duration) error {
	core := w.machines(true)
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		p := core[i%len(core)]
		status, err := p.put(m)
		if err == nil && status == http.StatusOK {
			w.log("manifest version %d acknowledged by %s", m.Version, p.name)
			return nil
		}
		w.log("manifest version %d sent to %s: status %d, error %v", m.Version, p.name, status, err)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("manifest version %d was not acknowledged within %v", m.Version, limit)
}
