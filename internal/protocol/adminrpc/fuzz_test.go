package adminrpc_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/cli"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/protocol/adminrpc"
)

// simulation has three servers that share one state machine, a lossy network, and
// one operator who uses the real command-line tool.
type simulation struct {
	t            rapid.TB // must be a *rapid.T if faults are drawn
	machine      *machine
	fleets       []*fakeFleet
	handlers     []http.Handler
	log          bytes.Buffer
	token        string
	faults       int // number of faults that may still occur in this command
	commandCount int
	unconfirmed  map[string][]string // arguments of unconfirmed commands by request identifier
	customers    map[string]customerState
	secrets      []string
	withdrawn    map[string]bool
}

func newSimulation(t rapid.TB, token string) *simulation {
	s := &simulation{
		t: t, token: token, machine: newMachine(),
		unconfirmed: make(map[string][]string), customers: make(map[string]customerState), withdrawn: make(map[string]bool),
	}
	for i := range 3 {
		f := &fakeFleet{machine: s.machine, vm: fmt.Sprint("vm-", i+1), nextFault: s.proposalFault}
		s.fleets = append(s.fleets, f)
		s.handlers = append(s.handlers, adminrpc.New(adminrpc.Options{
			VM: f.vm, Fleet: f, Log: slog.New(slog.NewJSONHandler(&s.log, nil)),
			Operators: []adminrpc.Operator{{Name: "ana", TokenSHA256: sha256.Sum256([]byte(operatorToken))}},
		}).Handler())
	}
	return s
}

// drawFault draws one of n outcomes; zero means no fault.
func (s *simulation) drawFault(label string, n int) int {
	if s.faults == 0 {
		return 0
	}
	choice := rapid.IntRange(0, n-1).Draw(s.t.(*rapid.T), label)
	if choice != 0 {
		s.faults--
	}
	return choice
}

// proposalFault draws the fault of a proposal. Delayed proposals and a change by
// another operator may be committed just before it.
func (s *simulation) proposalFault() proposalFault {
	if s.drawFault("late proposals", 2) == 1 {
		for _, f := range s.fleets {
			f.flush()
		}
	}
	if s.drawFault("other operator", 4) == 1 {
		id := fmt.Sprint("ben/apply/", s.machine.Config().GetVersion())
		s.machine.apply(&statev1.Command{RequestId: id, Author: "ben", Op: &statev1.Command_ConfigChange{
			ConfigChange: customerChange(s.machine.Config().GetVersion(), "of-ben", s.machine.Config().GetVersion()+1),
		}})
	}
	return proposalFault(s.drawFault("proposal", 4))
}

// RoundTrip passes a request to a server or injects a network fault: a refused
// connection, a lost response, or a response 502 after the server ran the call.
func (s *simulation) RoundTrip(r *http.Request) (*http.Response, error) {
	fault := s.drawFault("network", 4)
	if fault == 1 {
		return nil, &net.OpError{Op: "dial", Err: fmt.Errorf("connection refused")}
	}
	recorder := httptest.NewRecorder()
	s.handlers[r.URL.Port()[0]-'1'].ServeHTTP(recorder, r)
	switch fault {
	case 2:
		return nil, fmt.Errorf("connection reset")
	case 3:
		return &http.Response{StatusCode: http.StatusBadGateway, Body: http.NoBody, Request: r}, nil
	}
	return recorder.Result(), nil
}

// run runs the command-line tool and cancels it after two rounds of attempts
// without a decision.
func (s *simulation) run(id string, args ...string) (exit int, stdout, stderr string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var out, errs bytes.Buffer
	rounds := 0
	env := cli.Env{Stdout: &out, Stderr: &errs, Transport: s, Sleep: func(context.Context, time.Duration) {
		if rounds++; rounds == 2 {
			cancel()
		}
	}}
	all := []string{"--token-file", s.token, "--request-id", id}
	for port := 1; port <= 3; port++ {
		all = append(all, "--server", fmt.Sprintf("http://127.0.0.1:%d", port))
	}
	exit = cli.Run(ctx, append(all, args...), env)
	s.checkSecrets(args, errs.String())
	return exit, out.String(), errs.String()
}

// applied returns how often the history contains the operator's change id.
func (s *simulation) applied(id string) int {
	n := 0
	for _, info := range s.machine.History(0) {
		if strings.HasPrefix(info.GetRequestId(), "ana/") && strings.HasSuffix(info.GetRequestId(), "/"+id) {
			n++
		}
	}
	return n
}

// runWithFaults runs a command with up to 12 faults and checks its exit code.
func (s *simulation) runWithFaults(args ...string) {
	s.commandCount++
	s.faults = rapid.IntRange(0, 12).Draw(s.t.(*rapid.T), "faults")
	s.runAndCheck(fmt.Sprint("c", s.commandCount), args)
}

// runAndCheck runs a command and checks that its exit code agrees with the number
// of times that its change was applied.
func (s *simulation) runAndCheck(id string, args []string) {
	exit, stdout, stderr := s.run(id, args...)
	applied := s.applied(id)
	delete(s.unconfirmed, id)
	switch exit {
	case cli.ExitOK:
		if applied != 1 {
			s.t.Fatalf("%v succeeded and was applied %d times", args, applied)
		}
		s.recordSuccess(args, stdout)
	case cli.ExitConflict:
		if applied != 0 || !strings.Contains(stderr, "the present version is") {
			s.t.Fatalf("%v ended with a conflict and was applied %d times, stderr %q", args, applied, stderr)
		}
	case cli.ExitInvalid, cli.ExitUnavailable, cli.ExitNotFound:
		if applied != 0 {
			s.t.Fatalf("%v ended with %d (%s) and was applied %d times", args, exit, stderr, applied)
		}
	case cli.ExitUnconfirmed:
		if !strings.Contains(stderr, "--request-id "+id) {
			s.t.Fatalf("%v ended unconfirmed without printing its request identifier: %q", args, stderr)
		}
		s.unconfirmed[id] = args
	case cli.ExitRefused:
		if applied != 1 || args[0] != "key" || !strings.Contains(stderr, "shown once") {
			s.t.Fatalf("%v was refused (%s) and was applied %d times", args, stderr, applied)
		}
	default:
		s.t.Fatalf("%v ended with %d: %s", args, exit, stderr)
	}
}

// customerState is the last change of a customer that was confirmed to the
// operator.
type customerState struct{ version, rate uint64 }

func (s *simulation) recordSuccess(args []string, stdout string) {
	switch strings.Join(args[:2], " ") {
	case "customer set", "customer remove":
		var k customerState
		_, rest, _ := strings.Cut(stdout, "\n")
		version, _, _ := strings.Cut(rest, " ")
		k.version, _ = strconv.ParseUint(version, 10, 64)
		if args[1] == "set" {
			rate, _ := strings.CutPrefix(args[5], "rate_tokens_per_second=")
			k.rate, _ = strconv.ParseUint(rate, 10, 64)
		}
		if k.version > s.customers[args[4]].version {
			s.customers[args[4]] = k
		}
	case "key create":
		secret := regexp.MustCompile(`rl_[a-z2-7]{16}_[a-z2-7]{52}`).FindString(stdout)
		hash := sha256.Sum256([]byte(secret))
		keys := s.machine.Config().GetKeys()
		index := slices.IndexFunc(keys, func(k *statev1.Key) bool { return bytes.Equal(k.GetSecretSha256(), hash[:]) })
		if secret == "" || index < 0 {
			s.t.Fatalf("no stored key has the hash of the printed secret: %q", stdout)
		}
		s.secrets = append(s.secrets, secret)
	case "key withdraw":
		s.withdrawn[args[4]] = true
	}
}

func (s *simulation) checkSecrets(args []string, stderr string) {
	for _, secret := range append(s.secrets, operatorToken) {
		if strings.Contains(s.log.String()+stderr, secret) {
			s.t.Fatalf("%v: a secret is in a log", args)
		}
	}
}

// check compares the state with the changes that were confirmed to the operator.
// Customers with an unconfirmed change are skipped.
func (s *simulation) check(t *rapid.T) {
	unconfirmed := make(map[string]bool)
	for _, args := range s.unconfirmed {
		unconfirmed[args[len(args)-1]] = true
		if args[1] == "set" {
			unconfirmed[args[4]] = true
		}
	}
	state := make(map[string]uint64)
	for _, c := range s.machine.Config().GetCustomers() {
		state[c.GetName()] = c.GetRateTokensPerSecond()
	}
	for _, name := range []string{"acme", "umbra", "casa"} {
		if !unconfirmed[name] && state[name] != s.customers[name].rate {
			t.Fatalf("customer %s has rate %d, want the confirmed rate %d", name, state[name], s.customers[name].rate)
		}
	}
	for _, key := range s.machine.Config().GetKeys() {
		if s.withdrawn[key.GetId()] {
			t.Fatalf("key %s exists after its withdrawal", key.GetId())
		}
	}
}

// Guards against a change that is made twice, or reported as made but not applied, when
// responses are lost and the tool fails over to another server. It also guards
// against unreported conflicts and against secrets in logs and lists.
func TestOperatorUnderFaults(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(operatorToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	names := rapid.SampledFrom([]string{"acme", "umbra", "casa"})
	proptest.Check(t, 100, 20261204, func(t *rapid.T) {
		s := newSimulation(t, token)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				rate := rapid.IntRange(0, 9).Draw(t, "rate") // zero is not valid
				s.runWithFaults("customer", "set", "--wait", "0s", names.Draw(t, "name"), fmt.Sprint("rate_tokens_per_second=", rate), "burst_tokens=1")
			},
			"remove": func(t *rapid.T) {
				s.runWithFaults("customer", "remove", "--wait", "0s", names.Draw(t, "name"))
			},
			"create key": func(t *rapid.T) { s.runWithFaults("key", "create", "acme") },
			"withdraw key": func(t *rapid.T) {
				if keys := s.machine.Config().GetKeys(); len(keys) > 0 {
					s.runWithFaults("key", "withdraw", "--wait", "0s", rapid.SampledFrom(keys).Draw(t, "key").GetId())
				}
			},
			"repeat": func(*rapid.T) {
				s.faults = 0
				for _, id := range slices.Sorted(maps.Keys(s.unconfirmed)) {
					s.runAndCheck(id, s.unconfirmed[id])
				}
			},
			"late proposals": func(t *rapid.T) { s.fleets[rapid.IntRange(0, 2).Draw(t, "fleet")].flush() },
			"list": func(t *rapid.T) {
				s.faults = 0
				_, table, _ := s.run("list", "key", "list")
				_, values, _ := s.run("list", "-o", "json", "key", "list")
				_, config, _ := s.run("list", "config", "get")
				for _, secret := range s.secrets {
					if strings.Contains(table+values+config, secret) {
						t.Fatal("a secret is in a list")
					}
				}
				for _, key := range s.machine.Config().GetKeys() {
					if strings.Contains(table+values+config, base64.StdEncoding.EncodeToString(key.GetSecretSha256())) {
						t.Fatal("a key hash is in a list")
					}
				}
			},
			"": s.check,
		})
	})
}
