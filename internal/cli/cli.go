// Package cli implements the operator's command-line tool: it parses the command
// line, calls the administration API and prints the response.
//
// Every change has a request identifier. If a response is lost, the tool retries
// the call at the next server with the same identifier, so that the change is made
// at most once.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	ExitOK = 0
	// ExitRefused is a refusal without an exit code of its own, or any other error.
	ExitRefused = 1
	// ExitUsage is a wrong command line, or a file that cannot be read.
	ExitUsage = 2
	// ExitConflict is a change that is based on an outdated version.
	ExitConflict = 3
	// ExitInvalid is a configuration that failed validation.
	ExitInvalid = 4
	// ExitNotFound is a resource, VM or version that does not exist.
	ExitNotFound = 5
	// ExitUnavailable means that no server could carry out the call and that nothing
	// was changed.
	ExitUnavailable = 6
	// ExitUnconfirmed means that the change may have been made. Retry the command
	// with the --request-id that it printed.
	ExitUnconfirmed = 7
	// ExitUnauthorized is a missing or unknown operator token.
	ExitUnauthorized = 8
)

// Env holds the outputs and replaceable dependencies of the tool. Nil fields get
// defaults.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Transport replaces the default HTTP transport, including its TLS settings.
	Transport http.RoundTripper
	// NewRequestID returns a new unique request identifier.
	NewRequestID func() string
	// Sleep waits for d or until ctx is done. The tool calls it after each round of
	// attempts at all servers.
	Sleep func(ctx context.Context, d time.Duration)
}

func (e *Env) setDefaults() {
	if e.Stdout == nil {
		e.Stdout = os.Stdout
	}
	if e.Stderr == nil {
		e.Stderr = os.Stderr
	}
	if e.NewRequestID == nil {
		e.NewRequestID = uuid.NewString
	}
	if e.Sleep == nil {
		e.Sleep = sleep
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

type globalOptions struct {
	Servers        []string      `long:"server" env:"RADISHLOOM_SERVERS" env-delim:"," value-name:"IP:PORT" description:"administration address of a VM, or a URL; repeat it for fail-over"`
	TokenFile      string        `long:"token-file" env:"RADISHLOOM_TOKEN_FILE" value-name:"FILE" description:"file with the operator token"`
	CA             string        `long:"ca" env:"RADISHLOOM_CA" value-name:"FILE" description:"PEM file with the authority of the servers' certificates"`
	AllowPlaintext bool          `long:"allow-plaintext" description:"send the token without TLS to addresses that are not loopback"`
	Timeout        time.Duration `long:"timeout" default:"30s" description:"time for the whole command"`
	Output         string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"form of the answer"`
	RequestID      string        `long:"request-id" value-name:"ID" description:"repeat an earlier change under its identifier"`
}

// app is one run of the tool.
type app struct {
	env    Env
	global globalOptions
	client *client
	// requestID identifies the change of this run; a run makes at most one.
	requestID string
}

// runner is implemented by every command.
type runner interface {
	run(ctx context.Context, a *app) error
}

// offline marks commands that need no server.
type offline interface {
	offline()
}

// command is embedded by every command to implement flags.Commander, as go-flags
// requires. Run calls the run method of the selected command after parsing.
type command struct{}

// Execute implements flags.Commander.
func (command) Execute([]string) error { return nil }

// usageError reports an invalid command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// Run parses args (without the program name), runs the command and returns the
// exit code.
func Run(ctx context.Context, args []string, env Env) int {
	env.setDefaults()
	a := &app{env: env}
	selected, err := a.parse(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(env.Stdout, help.Message)
		return ExitOK
	}
	if err == nil {
		err = a.execute(ctx, selected)
	}
	if err == nil {
		return ExitOK
	}
	return a.report(err)
}

func (a *app) parse(args []string) (runner, error) {
	var selected flags.Commander
	parser := flags.NewNamedParser("radishloom", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "radishloom operator tool"
	parser.LongDescription = "Reads and changes a radishloom fleet through the administration API of any of its VMs."
	if _, err := parser.AddGroup("Global options", "", &a.global); err != nil {
		return nil, fmt.Errorf("define the global options: %w", err)
	}
	if _, err := parser.AddGroup("Commands", "", &commands{}); err != nil {
		return nil, fmt.Errorf("define the commands: %w", err)
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		selected = c
		if len(rest) > 0 {
			return usagef("unexpected arguments: %s", strings.Join(rest, " "))
		}
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return nil, err
	}
	r, ok := selected.(runner)
	if !ok {
		return nil, usagef("no command given; see radishloom --help")
	}
	return r, nil
}

func (a *app) execute(ctx context.Context, r runner) error {
	if a.global.Timeout <= 0 {
		return usagef("--timeout = %s: allowed: more than 0s", a.global.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, a.global.Timeout)
	defer cancel()
	a.requestID = a.global.RequestID
	if a.requestID == "" {
		a.requestID = a.env.NewRequestID()
	}
	if _, ok := r.(offline); !ok {
		c, err := newClient(a)
		if err != nil {
			return err
		}
		a.client = c
	}
	return r.run(ctx, a)
}

// report prints err to standard error and returns its exit code.
func (a *app) report(err error) int {
	fmt.Fprintf(a.env.Stderr, "radishloom: %v\n", err)
	var refusal *refusal
	if errors.As(err, &refusal) {
		if refusal.exit == ExitUnconfirmed {
			fmt.Fprintf(a.env.Stderr, "radishloom: repeat the command with --request-id %s\n", a.requestID)
		}
		return refusal.exit
	}
	var flagsError *flags.Error
	var usage usageError
	if errors.As(err, &flagsError) || errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitRefused
}
