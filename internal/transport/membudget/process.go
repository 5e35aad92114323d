package membudget

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// baseBytes is kept back for the process itself: what it takes at rest, connections
	// to endpoints, the work of open requests, and garbage that is not collected yet.
	baseBytes = 64 << 20
	// minShare is the smallest part of the memory of a VM for callers, as a divisor.
	minShare = 4
	// programBytes is kept back from the Go runtime for the pages of the program file,
	// which its memory limit does not count, and for short excesses of that limit. A
	// process with little memory keeps back a quarter, one with much at least a tenth.
	programBytes = 24 << 20
	// connShare is the part of the budget that open connections may take, as a divisor.
	connShare = 4
	// descriptorReserve is the number of file descriptors that are kept back for
	// endpoints, daemons, the log and the disk; of a small limit it is half.
	descriptorReserve = 512
	// mainShare is the part of the connections that the main servers may hold together, in
	// eighths: the one for callers and the one for other daemons. Each other server of the
	// process may hold one eighth.
	mainShare, eighths = 6, 8
	// minConnections is the smallest limit of connections.
	minConnections = 64
	// reportInterval is how often the gauges are refreshed.
	reportInterval = time.Second
)

// ForProcess returns the budget of a process that may use limit bytes, and sets the
// memory limit of the Go runtime, unless the environment does.
func ForProcess(limit int64) *Budget {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit - max(limit/10, min(programBytes, limit/4)))
	}
	return New(max(limit-baseBytes, limit/minShare))
}

// Connections returns how many connections each main server of a process and each other
// one may hold open, by the process's limit of file descriptors and by the memory of one
// connection.
func (b *Budget) Connections(descriptors int, bytesEach int64, mainServers int) (main, other int) {
	byDescriptors := descriptors - min(descriptorReserve, descriptors/2)
	byMemory := b.Total() / connShare / bytesEach
	n := max(minConnections, int(min(int64(byDescriptors), byMemory)))
	return n * mainShare / eighths / mainServers, n / eighths
}

// Descriptors returns the process's limit of file descriptors.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Report calls record for each kind, and for the total, until ctx ends.
func (b *Budget) Report(ctx context.Context, record func(kind string, bytes int64)) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		for k := range kinds {
			record(k.String(), b.UsedBy(k))
		}
		record("total", b.Total())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
