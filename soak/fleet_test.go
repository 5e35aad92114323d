package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
	"github.com/radishloom/radishloom/soak/proxy"
)

// size is the number of processes of a run, and of further engines.
type size struct {
	control, entries, engines int
	// others is the number of engines of standin.OtherEngineService.
	others int
	// direct makes entries connect to the endpoints without a proxy, whose buffers would
	// take requests that an endpoint does not read.
	direct bool
}

const (
	// stopTimeout is longer than the grace period of the settings.
	stopTimeout = 10 * time.Second
)

// process is the daemon of one VM.
type process struct {
	fleet    *fleet
	settings standin.Settings
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
	paused   bool
	// stopping is set from a stop signal until the next start.
	stopping bool
	// down is the time between the end of the process and its next start; restoreAt is
	// when it is started or resumed.
	down      time.Duration
	restoreAt time.Time
	starts    int
}

// fleet is all processes, stand-ins and proxies of one run.
type fleet struct {
	t             *testing.T
	run           int
	dir           string
	binary        string
	platformList  *httptest.Server
	endpoints     *standin.Fleet
	servers       []*standin.Endpoint
	serverProxies []*proxy.Proxy
	control       []*process
	entries       []*process
	entryProxies  []*proxy.Proxy
	peakMemory    int // in bytes, of all entries at any time
}

// Host numbers of the loopback addresses of a run.
const (
	firstVM            = 1
	firstEntryProxy    = 100
	firstEndpoint      = 200
	firstEndpointProxy = 220
)

// address returns the loopback address of a host. Concurrent runs differ in the second
// or the third octet.
func address(run, host int) string {
	const octets = 200
	return fmt.Sprintf("127.%d.%d.%d", 10+run%octets, run/octets%octets, host)
}

// buildDaemon builds the daemon for all runs and returns its path.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "radishloomd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/radishloomd").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	return binary
}

func newFleet(t *testing.T, run int, binary string, n size) *fleet {
	f := &fleet{t: t, run: run, dir: t.TempDir(), endpoints: standin.NewFleet(), binary: binary}
	f.startEndpoints(run, n)
	f.platformList = httptest.NewServer(f.endpoints)
	t.Cleanup(f.platformList.Close)
	var seeds []string
	for i := range min(3, n.control) {
		seeds = append(seeds, address(run, firstVM+i))
	}
	for i := range n.control + n.entries {
		ip := address(run, firstVM+i)
		p := &process{fleet: f, dir: filepath.Join(f.dir, fmt.Sprint("vm", i)), settings: standin.Settings{
			VM: fmt.Sprint("vm-", i), IP: ip, Control: i < n.control, Seeds: rotated(seeds, i), Bootstrap: true, ListAddress: f.platformList.Listener.Addr().String(),
		}}
		p.settings.DataDirectory = filepath.Join(p.dir, "data")
		if i < n.control {
			f.control = append(f.control, p)
		} else {
			f.entries = append(f.entries, p)
			f.entryProxies = append(f.entryProxies, f.newProxy(address(run, firstEntryProxy+i), p.callerAddress()))
		}
	}
	t.Cleanup(f.stopAll)
	for _, p := range f.processes() {
		p.start()
	}
	return f
}

// rotated returns the list from another place on: no order of the seeds is promised.
func rotated(list []string, by int) []string {
	by %= len(list)
	return slices.Concat(list[by:], list[:by])
}

func (f *fleet) newProxy(ip, target string) *proxy.Proxy {
	p, err := proxy.New(ip+":0", target)
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) startEndpoints(run int, n size) {
	services := slices.Repeat([]string{standin.PlainService}, plainEndpoints)
	services = append(services, slices.Repeat([]string{engineService}, firstEngines+n.engines)...)
	services = append(services, slices.Repeat([]string{standin.OtherEngineService}, n.others)...)
	for i, service := range services {
		var models []string
		if service != standin.PlainService {
			models = engineModels(i)
		}
		e, err := f.endpoints.Add(fmt.Sprint("e-", i), service, address(run, firstEndpoint+i)+":0", models...)
		if err != nil {
			f.t.Fatal(err)
		}
		if service == standin.OtherEngineService {
			e.SetVersion(otherVersionName)
		}
		p := f.newProxy(address(run, firstEndpointProxy+i), e.Listen())
		e.Address = p.Address()
		if n.direct {
			e.Address = e.Listen()
		}
		if i == evacuatedPlain || i == evacuatedEngine {
			e.DataCentre = evacuatedDataCentre
		}
		f.servers, f.serverProxies = append(f.servers, e), append(f.serverProxies, p)
	}
}

const (
	// engineService is the service of the engines.
	engineService = standin.EngineService
	// otherVersionName is the software version of the engines of the other service, which
	// tells their events from those of engineService.
	otherVersionName = "w1"
	// plainEndpoints and firstEngines are the endpoints of each fleet, before the further
	// engines of its size.
	plainEndpoints = 3
	firstEngines   = 4
)

// engineModels returns the models that an engine has at its start.
func engineModels(server int) []string {
	return []string{standin.Model, standin.Models()[1+server%2]}
}

func (f *fleet) processes() []*process {
	return append(append([]*process(nil), f.control...), f.entries...)
}

// start starts the daemon with its current settings and appends its output to a
// file. Only the first start bootstraps the control group.
func (p *process) start() {
	t := p.fleet.t
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		t.Error(err)
		return
	}
	path := filepath.Join(p.dir, "settings.toml")
	settings := p.settings
	settings.Bootstrap = settings.Bootstrap && p.starts == 0
	if err := os.WriteFile(path, []byte(settings.Text()), 0o600); err != nil {
		t.Error(err)
		return
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(p.fleet.binary, "--platform")
	cmd.Env = append(os.Environ(), standin.Environment(path))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	p.cmd, p.paused, p.stopping, p.exited = cmd, false, false, make(chan struct{})
	p.down, p.restoreAt = 0, time.Time{}
	p.starts++
	go func(done chan struct{}) {
		_ = cmd.Wait() // an error is expected: the daemon is usually ended by a signal
		close(done)
	}(p.exited)
}

// signal sends a signal to the daemon if it is running.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.alive() {
		_ = p.cmd.Process.Signal(s) // it may have just exited
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (f *fleet) stopAll() {
	var wg sync.WaitGroup
	for _, p := range f.processes() {
		wg.Go(func() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.exited
		})
	}
	wg.Wait()
}

// callerAddress is the address for callers of an entry.
func (p *process) callerAddress() string {
	return net.JoinHostPort(p.settings.IP, fmt.Sprint(standin.CallerPort))
}

// ready reports whether an entry accepts requests.
func (p *process) ready(client *http.Client) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.settings.IP, standin.ReadyPort, standin.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
