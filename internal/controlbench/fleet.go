package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/listen"
)

const (
	startTimeout = 30 * time.Second
	// clockTicks is the number of clock ticks per second of processor times in /proc
	// (USER_HZ).
	clockTicks = 100
)

// vm is one daemon process with its addresses.
type vm struct {
	name, callerAddress, adminAddress, peerAddress string
	control                                        bool
	process                                        *exec.Cmd
}

// fleet is a set of daemons with a client for their control role.
type fleet struct {
	dir       string
	daemon    string
	vms       []*vm
	transport *peerrpc.Transport
	client    *peerrpc.ControlClient
	bytes     *byteCounter
}

// byteCounter counts the payload bytes of the connections that it dials.
type byteCounter struct{ sent, received atomic.Int64 }

func (c *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, counter: c}, nil
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// startFleet starts n control VMs and waits until all of them are voters.
func startFleet(daemon string, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "controlbench")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, daemon: daemon, bytes: &byteCounter{}}
	for i := range n {
		v, err := newVM(fmt.Sprintf("vm-%d", i+1), true)
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return f, err
		}
	}
	f.transport = peerrpc.NewTransport(peerrpc.Options{Dial: f.bytes.dial})
	f.client = peerrpc.NewControlClient(f.transport, nil, f.peers())
	return f, f.waitVoters(n)
}

func newVM(name string, control bool) (*vm, error) {
	v := &vm{name: name, control: control}
	for _, a := range []*string{&v.callerAddress, &v.adminAddress, &v.peerAddress} {
		address, err := listen.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	return v, nil
}

func (f *fleet) peers() []string {
	var out []string
	for _, v := range f.vms {
		if v.control {
			out = append(out, v.peerAddress)
		}
	}
	return out
}

func (f *fleet) settings(v *vm) string {
	var quoted, members []string
	for _, o := range f.vms {
		if o.control {
			quoted = append(quoted, strconv.Quote(o.peerAddress))
			members = append(members, fmt.Sprintf("{ vm = %q, data_centre = \"dc\", address = %q }", o.name, o.peerAddress))
		}
	}
	text := fmt.Sprintf("vm = %q\ndata_centre = \"dc\"\ngrace_period = \"1s\"\nlog_level = \"warn\"\ncontrol_vms = [%s]\n[caller]\naddress = %q\n"+
		"[admin]\naddress = %q\noperators = [{ name = \"bench\", token_sha256 = %q }]\n",
		v.name, strings.Join(quoted, ", "), v.callerAddress, v.adminAddress, strings.Repeat("0", 64))
	if v.control {
		text += fmt.Sprintf("[peer]\naddress = %q\n[control]\ndata_folder = %q\naddress = %q\nbootstrap = true\nbootstrap_members = [%s]\n",
			v.peerAddress, filepath.Join(f.dir, v.name), v.peerAddress, strings.Join(members, ", "))
	}
	return text
}

func (f *fleet) start(v *vm) error {
	file := filepath.Join(f.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(f.settings(v)), 0o600); err != nil {
		return err
	}
	v.process = exec.Command(f.daemon, "--config", file)
	v.process.Stderr = os.Stderr
	return v.process.Start()
}

// stop kills all daemons and removes their folders.
func (f *fleet) stop() {
	for _, v := range f.vms {
		f.kill(v)
	}
	f.transport.Close()
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) kill(v *vm) {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Kill()
	_ = v.process.Wait()
	v.process = nil
}

func (f *fleet) waitVoters(n int) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		m, err := f.transport.Members(context.Background(), f.vms[0].peerAddress)
		if err != nil {
			continue
		}
		voters := 0
		for _, one := range m.GetMembership().GetMembers() {
			if !one.GetLearner() {
				voters++
			}
		}
		if voters == n {
			return nil
		}
	}
	return errors.New("timed out after 30 s: not all control VMs are voters")
}

// leader returns the daemon that is the leader of the control group.
func (f *fleet) leader() (*vm, error) {
	for _, v := range f.vms {
		if v.process == nil || !v.control {
			continue
		}
		m, err := f.transport.Members(context.Background(), v.peerAddress)
		if err != nil {
			continue
		}
		for _, one := range m.GetMembership().GetMembers() {
			for _, o := range f.vms {
				if one.GetId() == m.GetLeader() && o.name == one.GetVm() && o.process != nil {
					return o, nil
				}
			}
		}
	}
	return nil, errors.New("control group has no leader")
}

// propose retries a command until it has a result or startTimeout has passed.
func (f *fleet) propose(c *statev1.Command) (*statev1.Result, error) {
	for end := time.Now().Add(startTimeout); ; {
		r, err := f.client.Propose(context.Background(), c)
		if err == nil || time.Now().After(end) {
			return r, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// configure replaces the configuration of the fleet.
func (f *fleet) configure(id string, document *statev1.Config) error {
	r, err := f.propose(&statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{
		ConfigChange: &statev1.ConfigChange{Replace: document},
	}})
	if err == nil && r.GetCode() != uint32(resultcode.OK) {
		return fmt.Errorf("configuration refused: %s %v", r.GetMessage(), r.GetFaults())
	}
	return err
}

// usage is the processor time and memory of a process.
type usage struct {
	processor time.Duration
	resident  uint64 // bytes
}

func (v *vm) usage() (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", v.process.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return usage{}, err
	}
	// The fields after the command's closing parenthesis start with the third.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseUint(fields[21], 10, 64)
	return usage{
		processor: time.Duration(user+system) * time.Second / clockTicks,
		resident:  pages * uint64(os.Getpagesize()),
	}, errors.Join(err1, err2, err3)
}
