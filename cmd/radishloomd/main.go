// Command radishloomd is the radishloom daemon. It runs on every entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/radishloom/radishloom/internal/daemon"
	"github.com/radishloom/radishloom/internal/node"
	"github.com/radishloom/radishloom/internal/settings"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Config   string `long:"config" value-name:"FILE" description:"TOML settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Platform bool   `long:"platform" description:"run on the users' platform, with the settings file that its environment names"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return exitSettings
	}
	if o.Version {
		fmt.Println("radishloomd", version())
		return 0
	}
	if o.Platform {
		return servePlatform(o.Check)
	}
	if o.Config == "" {
		fmt.Fprintln(os.Stderr, "radishloomd: --config FILE is required")
		return exitSettings
	}
	s, err := settings.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check {
		fmt.Printf("%s: settings are valid\n", o.Config)
		return 0
	}
	return serve(s)
}

// servePlatform runs the role that the platform's settings describe. It logs to
// standard output, where the platform collects the logs.
func servePlatform(checkOnly bool) int {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return 0
	}
	log := telemetry.NewLogger(os.Stdout, slog.LevelInfo, s.VM, s.DataCentre)
	if err := node.Run(context.Background(), s, log); err != nil {
		log.Error("daemon stopped with an error", "error", err)
		return exitFailed
	}
	return 0
}

func serve(s *settings.Settings) int {
	log := telemetry.NewLogger(os.Stderr, s.LogLevel, s.VM, s.DataCentre)
	d, err := daemon.New(s, version(), log)
	if err != nil {
		log.Error("could not start daemon", "error", err)
		return exitFailed
	}
	go exitOnSecondSignal()
	if err := d.Run(context.Background()); err != nil {
		log.Error("daemon stopped with an error", "error", err)
		return exitFailed
	}
	return 0
}

// exitOnSecondSignal ends the process at the second signal, so that an operator
// need not wait for the graceful shutdown that the first one started.
func exitOnSecondSignal() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	<-signals
	<-signals
	os.Exit(exitFailed)
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
