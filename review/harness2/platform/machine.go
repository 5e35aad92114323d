package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a machine of the system with its process.
type machine struct {
	world     *world
	name, ip  string
	zone      string
	control   bool
	seeds     []string
	bootstrap bool
	cmd       *exec.Cmd
	exited    chan struct{}
}

// settings returns the content of the settings file, as the pages show it for a small
// deployment.
func (m *machine) settings() string {
	p := m.world.ports
	var out strings.Builder
	class, serves := "front", "front"
	if m.control {
		class, serves = "core", "control"
	}
	fmt.Fprintf(&out, "node = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"r\"\n", m.name, class, class, serves, m.ip, m.zone)
	fmt.Fprintf(&out, "internalPorts = [%d,%d]\nseeds = [\"%s\"]\nbootstrap = %t\nlossCounted = %t\n", p.peer, p.peer+15, strings.Join(m.seeds, `","`), m.bootstrap, m.control)
	if m.control {
		fmt.Fprintf(&out, "dataDirectory = %q\n", m.dataDir())
	}
	out.WriteString("heartbeatMs = 1200\nconfigMode = \"highest\"\n[zones]\nzone-a = \"r\"\nzone-b = \"r\"\nzone-c = \"r\"\n[listen]\n")
	if m.control {
		fmt.Fprintf(&out, "control = \"%s:%d\"\n", m.ip, p.control)
	} else {
		fmt.Fprintf(&out, "front = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, p.front, m.ip, p.ready)
	}
	out.WriteString("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nfileDescriptors = 4096\nlinkMbps = 1000.0\n[tolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	out.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n" +
		"rollbackSlackMs = 250\nouterBoundMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 58\nquotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 11000\n" +
		"recoveryS = 12\npassMs = 120\nretryAfterS = 0\nfenceRequired = true\nleaseMs = 3000\nthawSlackMs = 300\nceilingWindowS = 5\nceilingOverage = 1.1\n")
	fmt.Fprintf(&out, "[cloud]\naddress = %q\nratePerS = 47.0\nlagMs = 800\n", m.world.list.address())
	return out.String()
}

func (m *machine) dir() string     { return filepath.Join(m.world.dir, m.name) }
func (m *machine) dataDir() string { return filepath.Join(m.dir(), "data") }

// start writes the settings file and starts the process, with the words of the deploy
// file.
func (m *machine) start() error {
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.dir(), "local.toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(m.world.daemon, "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHLOOM_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	m.world.rec.addf("%s starts, bootstrap %t", m.name, m.bootstrap)
	go func(done chan struct{}) {
		err := cmd.Wait()
		m.world.rec.addf("%s has ended: %v", m.name, err)
		close(done)
	}(m.exited)
	return nil
}

// restart starts the process again. Only the first start of the whole system may
// bootstrap.
func (m *machine) restart() error {
	m.bootstrap = false
	return m.start()
}

func (m *machine) signal(s syscall.Signal) {
	m.world.rec.addf("%s gets %v", m.name, s)
	// The process may just have ended.
	if err := m.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.world.rec.addf("signal: %v", err)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	select {
	case <-m.exited:
		return
	default:
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// wipe removes what the machine had on its disk.
func (m *machine) wipe() error {
	m.world.rec.addf("%s loses its disk", m.name)
	return os.RemoveAll(m.dataDir())
}

// front returns the address for requesters.
func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.world.ports.front) }

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.ip, m.world.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it is empty
	return resp.StatusCode == http.StatusOK
}
