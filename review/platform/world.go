package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is everything that one play consists of.
type world struct {
	// trouble is false if the disruption is left out.
	trouble bool
	start   time.Time
	// folder holds the settings and data of the daemons.
	folder string
	ports  ports
	// seeds are the control addresses that all machines get at the first start.
	seeds []string
	// network is the prefix of the loopback addresses of this play.
	network string

	mu     sync.Mutex
	record *os.File

	platform *platformList
	// frontOutput, if set, is where the first front machine writes its standard output.
	frontOutput *os.File
	servers     []*server
	engines     []*engineServer
	processes   []*process
}

// ports are the same on all machines.
type ports struct{ internal, front, ready, control int }

const (
	// internalPorts is the number of ports for calls between daemons.
	internalPorts = 16
	portsInUse    = internalPorts + 3
)

func newWorld() (*world, error) {
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), folder: folder, record: record}
	w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	first, err := freePorts(w.address(1))
	if err != nil {
		return nil, err
	}
	w.ports = ports{internal: first, front: first + internalPorts, ready: first + internalPorts + 1, control: first + internalPorts + 2}
	w.note("trouble: %t", w.trouble)
	return w, nil
}

// freePorts returns the first of portsInUse free ports in a row.
func freePorts(ip string) (int, error) {
	for range 50 {
		first := 20000 + rand.IntN(12000)
		if allFree(ip, first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row on %s", portsInUse, ip)
}

func allFree(ip string, first int) bool {
	for port := first; port < first+portsInUse; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// address returns the loopback address of a host.
func (w *world) address(host int) string { return fmt.Sprintf("%s.%d", w.network, host) }

// note writes a line with the time since the start to the record and to the standard
// output.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// log writes a line to the record only.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins of the play.
func (w *world) close() {
	for _, p := range w.processes {
		p.end()
	}
	for _, s := range w.servers {
		s.close()
	}
	for _, e := range w.engines {
		e.close()
	}
	if w.platform != nil {
		w.platform.close()
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// repository returns the root of the repository, which is where the deploy file's
// commands start. The program is built into its folder target.
func repository() (string, error) {
	program, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(filepath.Dir(program)), nil
}
