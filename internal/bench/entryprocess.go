package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	costModel    = "m"
	costCustomer = "c"
	costSlots    = 20_000
	costMaxOpen  = 20_000
	costRate     = 1_000_000_000
)

// hello is the first line that an entry process writes; each later line is a
// usage.
type hello struct{ Address, Key string }

type usage struct {
	Processor time.Duration
	// ResidentBytes is the resident memory of the process, InUseBytes the memory of
	// heap and stacks after a garbage collection.
	ResidentBytes, InUseBytes uint64
}

// RunEntryProcess runs one entry and its control server for one engine. It writes
// its resource usage for each line of input until the input ends.
func RunEntryProcess(engine string, in io.Reader, out io.Writer) error {
	f := &fleet{}
	defer f.close()
	if err := f.startControl(); err != nil {
		return err
	}
	secret, key, err := config.NewKey(fixedReader{1}, costCustomer, "")
	if err != nil {
		return err
	}
	if err := f.apply(costDocument(engine, key)); err != nil {
		return err
	}
	v, err := startVM(vmConfig{name: "vm", dataCentre: "dc", control: f.control, maxOpen: costMaxOpen})
	if err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	if err := await("entry not ready", v.entry.Ready); err != nil {
		return err
	}
	enc := json.NewEncoder(out)
	if err := enc.Encode(hello{v.address, secret}); err != nil {
		return err
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if err := enc.Encode(readUsage()); err != nil {
			return err
		}
	}
	return nil
}

func costDocument(engine string, key *statev1.Key) *statev1.Config {
	return &statev1.Config{
		Keys:      []*statev1.Key{key},
		Profiles:  []*statev1.Profile{{Name: "p", DeadlineMs: 600_000, SilenceMs: 60_000}},
		Customers: []*statev1.Customer{{Name: costCustomer, RateTokensPerSecond: costRate, BurstTokens: costRate, MaxOpenRequests: costMaxOpen}},
		Models:    []*statev1.Model{{Name: costModel, Version: "1", MemoryMb: modelMemoryMB}},
		Endpoints: []*statev1.Endpoint{{
			Name: "engine", Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: engine, DataCentre: "dc",
			MemoryMb: modelMemoryMB, Slots: costSlots, Accelerators: 1, PinnedModels: []string{costModel},
		}},
		Routes: []*statev1.Route{{
			Name: "chat", Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: costModel, Profile: "p", Idempotent: true,
		}},
	}
}

func readUsage() usage {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{Processor: ProcessorTime(), ResidentBytes: residentBytes(), InUseBytes: m.HeapInuse + m.StackInuse}
}

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func residentBytes() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
