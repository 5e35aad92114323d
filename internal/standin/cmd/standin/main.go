// Command standin runs a stand-in engine or service for the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/radishloom/radishloom/internal/standin/engine"
	"github.com/radishloom/radishloom/internal/standin/service"
)

// crashStatus is the exit status of a stand-in engine that crashes on purpose.
const crashStatus = 86

type engineCommand struct {
	Listen          string        `long:"listen" required:"true" description:"address to listen on"`
	Models          []string      `long:"model" description:"NAME[:MEMORY_MB[:VERSION]] that the engine can load; repeatable"`
	Adapters        []string      `long:"adapter" description:"MODEL=ADAPTER; repeatable"`
	Resident        []string      `long:"resident" description:"model that is loaded at start; repeatable"`
	MemoryMB        uint64        `long:"memory-mb" default:"81920" description:"memory for models"`
	Slots           int           `long:"slots" default:"8" description:"requests that run at once"`
	MaxWaiting      int           `long:"max-waiting" default:"1024" description:"requests that may wait"`
	TokenTime       time.Duration `long:"token-time" default:"10ms" description:"time for one token of a request that runs alone"`
	BatchSlowdown   float64       `long:"batch-slowdown" default:"0.05" description:"share of the token time that each further request adds"`
	PromptTokenTime time.Duration `long:"prompt-token-time" default:"50us" description:"time for one token of a prompt"`
	LoadTime        time.Duration `long:"load-time" default:"2s" description:"time to load a model"`
	AdapterLoadTime time.Duration `long:"adapter-load-time" default:"10ms" description:"time to load an adapter"`
	ReportLag       time.Duration `long:"report-lag" default:"2s" description:"age of load reports"`
	CacheLag        time.Duration `long:"cache-lag" default:"1s" description:"age of cache events"`
	CacheGap        int           `long:"cache-gap" description:"lose every n-th cache event"`
	ChecksFencing   bool          `long:"checks-fencing" description:"refuse orders with an old fencing token"`
	CrashMark       string        `long:"crash-mark" description:"exit when a request with this text runs"`
	RestartAfter    time.Duration `long:"restart-after" description:"come back after a crash in place of exiting"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	models, err := c.models()
	if err != nil {
		return err
	}
	config := engine.Config{
		Models: models, Resident: c.Resident, MemoryMB: c.MemoryMB, Slots: c.Slots, MaxWaiting: c.MaxWaiting,
		TokenTime: c.TokenTime, BatchSlowdown: c.BatchSlowdown, PromptTokenTime: c.PromptTokenTime,
		LoadTime: c.LoadTime, AdapterLoadTime: c.AdapterLoadTime, ReportLag: c.ReportLag,
		CacheLag: c.CacheLag, CacheGap: c.CacheGap, ChecksFencing: c.ChecksFencing, RestartAfter: c.RestartAfter,
	}
	if c.RestartAfter == 0 {
		config.OnCrash = func() { os.Exit(crashStatus) }
	}
	e, err := engine.Start(c.Listen, config)
	if err != nil {
		return err
	}
	e.SetFaults(engine.Faults{CrashMark: c.CrashMark})
	fmt.Println("engine listens on", e.Addr())
	waitForSignal()
	e.Close()
	return nil
}

// models parses the flags for models and adapters, and checks the resident models
// against them.
func (c *engineCommand) models() ([]engine.Model, error) {
	const defaultMemoryMB = 10 << 10
	var out []engine.Model
	index := make(map[string]int)
	for _, text := range c.Models {
		parts := strings.SplitN(text, ":", 3)
		m := engine.Model{Name: parts[0], MemoryMB: defaultMemoryMB, Version: "1"}
		if len(parts) > 1 {
			mb, err := strconv.ParseUint(parts[1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("--model %q: invalid memory in MB", text)
			}
			m.MemoryMB = mb
		}
		if len(parts) > 2 {
			m.Version = parts[2]
		}
		index[m.Name] = len(out)
		out = append(out, m)
	}
	for _, text := range c.Adapters {
		model, adapter, ok := strings.Cut(text, "=")
		i, known := index[model]
		if !ok || !known {
			return nil, fmt.Errorf("--adapter %q: want MODEL=ADAPTER, with a model given by --model", text)
		}
		out[i].Adapters = append(out[i].Adapters, adapter)
	}
	for _, name := range c.Resident {
		if _, known := index[name]; !known {
			return nil, fmt.Errorf("--resident %q: no --model has this name", name)
		}
	}
	return out, nil
}

type serviceCommand struct {
	Listen       string        `long:"listen" required:"true" description:"address to listen on"`
	Slots        int           `long:"slots" default:"64" description:"capacity that is reported"`
	Delay        time.Duration `long:"delay" description:"time until an answer"`
	RestartAfter time.Duration `long:"restart-after" description:"come back after a crash"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	s, err := service.Start(c.Listen, service.Config{Slots: c.Slots, RestartAfter: c.RestartAfter})
	if err != nil {
		return err
	}
	s.SetFaults(service.Faults{Delay: c.Delay})
	fmt.Println("service listens on", s.Addr())
	waitForSignal()
	s.Close()
	return nil
}

func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

func main() {
	var options struct {
		Engine  engineCommand  `command:"engine" description:"run a stand-in engine"`
		Service serviceCommand `command:"service" description:"run a stand-in service"`
	}
	_, err := flags.Parse(&options)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return
	}
	if err != nil {
		os.Exit(1)
	}
}
