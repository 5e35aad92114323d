package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// machine limits of the users' small installation.
const (
	frontMemoryMB = 284
	coreMemoryMB  = 280
	graceTime     = 8 * time.Second
)

// process is the daemon of one machine.
type process struct {
	world  *world
	name   string
	ip     string
	core   bool
	cmd    *exec.Cmd
	exited chan struct{}
	// seeds, if set, differ from those of the first start.
	seeds []string
	// output is where the daemon's standard output goes; nil means to a file.
	output *os.File
	// starts counts the starts: only the first one may bootstrap the system.
	starts int
}

// startSystem starts control machines with the hosts 1, 2, ... and front machines with
// the hosts 11, 12, ..., and waits until the manifest is acknowledged and the front
// machines are ready.
func (w *world) startSystem(core, front int, m manifest) error {
	w.addMachines(core, front)
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := w.putUntilAcknowledged(m, 20*time.Second); err != nil {
		return err
	}
	for _, p := range w.processes[core:] {
		if err := p.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	w.note("%d core and %d front machines are ready with manifest version %d", core, front, m.Version)
	return nil
}

// addMachines adds machines that are not started yet.
func (w *world) addMachines(core, front int) {
	for i := range core + front {
		p := &process{world: w}
		if p.core = i < core; p.core {
			p.name, p.ip = fmt.Sprintf("core-%d", i+1), w.address(i+1)
		} else {
			p.name, p.ip = fmt.Sprintf("front-%d", i-core+1), w.address(11+i-core)
		}
		if i == core {
			p.output = w.frontOutput
		}
		w.processes = append(w.processes, p)
	}
	for _, p := range w.machines(true)[:min(3, core)] {
		w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", p.ip, w.ports.control))
	}
}

// replace starts an empty core machine with another address in place of a lost one.
// Its seeds name it instead of the lost one; the other machines keep theirs.
func (w *world) replace(i, host int) error {
	lost := w.processes[i]
	p := &process{world: w, name: fmt.Sprintf("core-%d", host), ip: w.address(host), core: true}
	for _, seed := range w.seeds {
		if seed == fmt.Sprintf("%s:%d", lost.ip, w.ports.control) {
			seed = fmt.Sprintf("%s:%d", p.ip, w.ports.control)
		}
		p.seeds = append(p.seeds, seed)
	}
	w.processes[i] = p
	return p.start()
}

func (w *world) machines(core bool) []*process {
	var out []*process
	for _, p := range w.processes {
		if p.core == core {
			out = append(out, p)
		}
	}
	return out
}

// start starts the daemon with the command of the deploy file and the environment that
// the platform passes on.
func (p *process) start() error {
	w := p.world
	folder := filepath.Join(w.folder, p.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, "local.toml")
	if err := os.WriteFile(settings, []byte(p.settings(folder)), 0o600); err != nil {
		return err
	}
	root, err := repository()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(root, "target", "radishloomd"), "--platform")
	p.cmd.Dir = root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "RADISHLOOM_NODE_FILE=" + settings}
	out := p.output
	if out == nil {
		if out, err = os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
		defer func() { _ = out.Close() }()
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.starts++
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// settings returns the settings file of the machine.
func (p *process) settings(folder string) string {
	w := p.world
	seeds := p.seeds
	if seeds == nil {
		seeds = w.seeds
	}
	var quoted []string
	for _, seed := range seeds {
		quoted = append(quoted, strconv.Quote(seed))
	}
	class, memory, data, serves := "front", frontMemoryMB, "", "front"
	listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", p.ip, w.ports.front, p.ip, w.ports.ready)
	if p.core {
		class, memory, data, serves = "core", coreMemoryMB, fmt.Sprintf("dataDirectory = %q\n", filepath.Join(folder, "data")), "control"
		listen = fmt.Sprintf("control = \"%s:%d\"", p.ip, w.ports.control)
	}
	return fmt.Sprintf(`node = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = "zone-a"
region = "region"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = %t
lossCounted = %t
discovery = "cloud_api"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota"]
configMode = "highest"
%s[zones]
zone-a = "region"
[listen]
%s
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 128
[tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = %d
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 11000
recoveryS = 12
passMs = 120
retryAfterS = 0
fenceRequired = true
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1
[cloud]
address = %q
ratePerS = 47.0
duties = []
lagMs = 800
`, p.name, class, class, serves, p.ip, w.ports.internal, w.ports.internal+internalPorts-1, strings.Join(quoted, ","), p.starts == 0, p.core,
		data, listen, memory, int(graceTime.Seconds()), w.platform.address())
}

// running reports whether the daemon has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end kills the daemon and waits until it has ended.
func (p *process) end() {
	if p.cmd == nil || !p.running() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

var errNotReady = errors.New("not ready in time")

// waitReady asks the machine once in 100 ms whether it is ready.
func (p *process) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if p.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", p.name, errNotReady)
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", p.ip, p.world.ports.ready))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memoryMB returns the resident memory of the daemon.
func (p *process) memoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}
