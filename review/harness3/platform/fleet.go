package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

const (
	// daemonPath and daemonArg are the command of both roles in the deploy file.
	daemonPath, daemonArg = "target/radishloomd", "--platform"
	// startTimeout bounds the wait for the entries to be ready.
	startTimeout = 20 * time.Second
	pollInterval = 100 * time.Millisecond
	// apiKey is the key of the only customer.
	apiKey = "key-1"
	// firstEndpoint is the host number of the first endpoint.
	firstEndpoint = 100
	// maxEndpointHosts bounds the host numbers of endpoints.
	maxEndpointHosts = 100
)

// vm is one VM with its daemon.
type vm struct {
	settings standin.Settings
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
	starts   int
}

// fleet is the daemons of a case and the stand-ins around them. Each VM and endpoint has a
// loopback address of its own.
type fleet struct {
	dir       string
	prefix    string // of all addresses
	record    *record
	endpoints *standin.Fleet
	list      *http.Server
	listAddr  string
	control   []*vm
	entries   []*vm
	mu        sync.Mutex // guards the start of daemons against stop
	stopped   bool
	added     int
}

// newFleet prepares the VMs and the platform's list; start starts the daemons.
func newFleet(rec *record, control, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec, endpoints: standin.NewFleet()}
	if f.prefix, err = freePrefix(control + entries); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", f.address(firstEndpoint+maxEndpointHosts)+":0")
	if err != nil {
		return nil, err
	}
	f.listAddr = l.Addr().String()
	f.list = &http.Server{Handler: f.endpoints, ReadHeaderTimeout: time.Second}
	go func() { _ = f.list.Serve(l) }() // ends with stop
	var seeds []string
	for i := range min(3, control) {
		seeds = append(seeds, f.address(1+i))
	}
	for i := range control + entries {
		p := &vm{dir: filepath.Join(dir, fmt.Sprint("vm", i)), settings: standin.Settings{
			VM: fmt.Sprint("vm-", i), IP: f.address(1 + i), Control: i < control, Seeds: seeds, Bootstrap: true, ListAddress: f.listAddr,
			MemoryMB: 284, FileDescriptors: 4100,
		}}
		p.settings.DataDirectory = filepath.Join(p.dir, "data")
		if i < control {
			f.control = append(f.control, p)
		} else {
			f.entries = append(f.entries, p)
		}
	}
	return f, nil
}

// freePrefix returns the first three octets of loopback addresses on which the ports of the
// daemons are free.
func freePrefix(vms int) (string, error) {
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d.", 100+rand.IntN(100), rand.IntN(250))
		if portsFree(prefix, vms) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

func portsFree(prefix string, vms int) bool {
	for i := range vms {
		for _, port := range []int{standin.PeerPort, standin.PeerPort + 1, standin.CallerPort, standin.ReadyPort, standin.ControlPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, 1+i, port))
			if err != nil {
				return false
			}
			_ = l.Close() // it was only a trial
		}
	}
	return true
}

func (f *fleet) address(host int) string { return fmt.Sprint(f.prefix, host) }

// addEndpoint starts an endpoint with a software version.
func (f *fleet) addEndpoint(service, version string, models ...string) (*standin.Endpoint, error) {
	f.added++
	e, err := f.endpoints.Add(fmt.Sprint("e-", f.added), service, f.address(firstEndpoint+f.added)+":0", models...)
	if err == nil {
		e.SetVersion(cmp.Or(version, "v1"))
	}
	return e, err
}

// start starts all daemons, puts the first catalog and waits for the entries to be ready.
func (f *fleet) start(catalog []byte) error {
	for _, p := range f.all() {
		if err := f.startVM(p); err != nil {
			return err
		}
	}
	if err := f.put(catalog); err != nil {
		return err
	}
	for _, p := range f.entries {
		if err := waitFor(startTimeout, func() bool { return ready(p) }); err != nil {
			return fmt.Errorf("entry %s is not ready: %w", p.settings.VM, err)
		}
	}
	return nil
}

func (f *fleet) all() []*vm { return append(append([]*vm(nil), f.control...), f.entries...) }

// startVM starts a daemon. Only the first start may found the control group.
func (f *fleet) startVM(p *vm) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return fmt.Errorf("the case has ended")
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	settings := p.settings
	settings.Bootstrap = p.starts == 0
	path := filepath.Join(p.dir, "settings.toml")
	if err := os.WriteFile(path, []byte(settings.Text()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(daemonPath, daemonArg)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.Environment(path)}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	p.starts++
	f.record.add("%s started (pid %d)", p.settings.VM, cmd.Process.Pid)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		f.record.add("%s ended: %v", p.settings.VM, err)
		close(done)
	}(cmd, p.exited)
	return nil
}

// signal sends a signal to a daemon that this case has started.
func (f *fleet) signal(p *vm, s syscall.Signal) {
	f.record.add("signal %v to %s", s, p.settings.VM)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	done := f.stopped
	f.stopped = true
	f.mu.Unlock()
	if done {
		return
	}
	for _, p := range f.all() {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
	}
	_ = f.list.Close() // the case ends
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // a temporary folder
	}
}

// put sends a catalog to one control VM after the other until one acknowledges it.
func (f *fleet) put(catalog []byte) error {
	operator := standin.Operator{HTTP: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	turn := 0
	return waitFor(startTimeout, func() bool {
		p := f.control[turn%len(f.control)]
		turn++
		status, err := operator.Put(p.settings.IP, catalog)
		if err == nil && status == http.StatusOK {
			f.record.add("catalog of %d bytes acknowledged by %s", len(catalog), p.settings.VM)
			return true
		}
		return false
	})
}

func ready(p *vm) bool {
	resp, err := shortCall(fmt.Sprintf("http://%s:%d%s", p.settings.IP, standin.ReadyPort, standin.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func shortCall(url string) (*http.Response, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Get(url)
}

// waitFor waits until done returns true.
func waitFor(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", limit)
}
