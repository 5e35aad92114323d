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

// world is three servers over one machine, a lossy network and one operator
// with the real command-line tool.
type world struct {
	t         rapid.TB // a *rapid.T where faults are drawn
	machine   *machine
	fleets    []*fakeFleet
	handlers  []http.Handler
	log       bytes.Buffer
	token     string
	faults    int // faults left for this command
	commands  int
	unclear   map[string][]string // arguments by request identifier
	customers map[string]known
	secrets   []string
	withdrawn map[string]bool
}

func newWorld(t rapid.TB, token string) *world {
	w := &world{
		t: t, token: token, machine: newMachine(),
		unclear: make(map[string][]string), customers: make(map[string]known), withdrawn: make(map[string]bool),
	}
	for i := range 3 {
		f := &fakeFleet{machine: w.machine, vm: fmt.Sprint("vm-", i+1), next: w.fate}
		w.fleets = append(w.fleets, f)
		w.handlers = append(w.handlers, adminrpc.New(adminrpc.Options{
			VM: f.vm, Fleet: f, Log: slog.New(slog.NewJSONHandler(&w.log, nil)),
			Operators: []adminrpc.Operator{{Name: "ana", TokenSHA256: sha256.Sum256([]byte(operatorToken))}},
		}).Handler())
	}
	return w
}

// fault draws one of n fates; zero is the good one.
func (w *world) fault(label string, n int) int {
	if w.faults == 0 {
		return 0
	}
	fate := rapid.IntRange(0, n-1).Draw(w.t.(*rapid.T), label)
	if fate != 0 {
		w.faults--
	}
	return fate
}

// fate is that of a proposal; another operator's change or an earlier proposal
// may be committed just before it.
func (w *world) fate() loss {
	if w.fault("late proposals", 2) == 1 {
		for _, f := range w.fleets {
			f.flush()
		}
	}
	if w.fault("other operator", 4) == 1 {
		id := fmt.Sprint("ben/apply/", w.machine.Config().GetVersion())
		w.machine.apply(&statev1.Command{RequestId: id, Author: "ben", Op: &statev1.Command_ConfigChange{
			ConfigChange: customerChange(w.machine.Config().GetVersion(), "of-ben", w.machine.Config().GetVersion()+1),
		}})
	}
	return loss(w.fault("proposal", 4))
}

// RoundTrip loses requests and answers.
func (w *world) RoundTrip(r *http.Request) (*http.Response, error) {
	fate := w.fault("network", 4)
	if fate == 1 {
		return nil, &net.OpError{Op: "dial", Err: fmt.Errorf("connection refused")}
	}
	recorder := httptest.NewRecorder()
	w.handlers[r.URL.Port()[0]-'1'].ServeHTTP(recorder, r)
	switch fate {
	case 2:
		return nil, fmt.Errorf("connection reset")
	case 3:
		return &http.Response{StatusCode: http.StatusBadGateway, Body: http.NoBody, Request: r}, nil
	}
	return recorder.Result(), nil
}

// run runs the tool; it gives up after a few rounds without a decision.
func (w *world) run(id string, args ...string) (exit int, stdout, stderr string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var out, errs bytes.Buffer
	rounds := 0
	env := cli.Env{Stdout: &out, Stderr: &errs, Transport: w, Sleep: func(context.Context, time.Duration) {
		if rounds++; rounds == 2 {
			cancel()
		}
	}}
	all := []string{"--token-file", w.token, "--request-id", id}
	for port := 1; port <= 3; port++ {
		all = append(all, "--server", fmt.Sprintf("http://127.0.0.1:%d", port))
	}
	exit = cli.Run(ctx, append(all, args...), env)
	w.checkSecrets(args, errs.String())
	return exit, out.String(), errs.String()
}

func (w *world) applied(id string) int {
	n := 0
	for _, info := range w.machine.History(0) {
		if strings.HasPrefix(info.GetRequestId(), "ana/") && strings.HasSuffix(info.GetRequestId(), "/"+id) {
			n++
		}
	}
	return n
}

// command runs one change, with faults, and judges its exit code.
func (w *world) command(args ...string) {
	w.commands++
	w.faults = rapid.IntRange(0, 12).Draw(w.t.(*rapid.T), "faults")
	w.judge(fmt.Sprint("c", w.commands), args)
}

func (w *world) judge(id string, args []string) {
	exit, stdout, stderr := w.run(id, args...)
	applied := w.applied(id)
	delete(w.unclear, id)
	switch exit {
	case cli.ExitOK:
		if applied != 1 {
			w.t.Fatalf("%v succeeded and was applied %d times", args, applied)
		}
		w.succeeded(args, stdout)
	case cli.ExitConflict:
		if applied != 0 || !strings.Contains(stderr, "the present version is") {
			w.t.Fatalf("%v conflicts, was applied %d times, reported %q", args, applied, stderr)
		}
	case cli.ExitInvalid, cli.ExitUnavailable, cli.ExitNotFound:
		if applied != 0 {
			w.t.Fatalf("%v ended with %d (%s) and was applied %d times", args, exit, stderr, applied)
		}
	case cli.ExitUnconfirmed:
		if !strings.Contains(stderr, "--request-id "+id) {
			w.t.Fatalf("%v is unconfirmed without its request identifier: %q", args, stderr)
		}
		w.unclear[id] = args
	case cli.ExitRefused:
		if applied != 1 || args[0] != "key" || !strings.Contains(stderr, "shown once") {
			w.t.Fatalf("%v was refused (%s) and was applied %d times", args, stderr, applied)
		}
	default:
		w.t.Fatalf("%v ended with %d: %s", args, exit, stderr)
	}
}

// known is the last change of a customer that the operator knows of.
type known struct{ version, rate uint64 }

func (w *world) succeeded(args []string, stdout string) {
	switch strings.Join(args[:2], " ") {
	case "customer set", "customer remove":
		var k known
		_, rest, _ := strings.Cut(stdout, "\n")
		version, _, _ := strings.Cut(rest, " ")
		k.version, _ = strconv.ParseUint(version, 10, 64)
		if args[1] == "set" {
			rate, _ := strings.CutPrefix(args[5], "rate_tokens_per_second=")
			k.rate, _ = strconv.ParseUint(rate, 10, 64)
		}
		if k.version > w.customers[args[4]].version {
			w.customers[args[4]] = k
		}
	case "key create":
		secret := regexp.MustCompile(`rl_[a-z2-7]{16}_[a-z2-7]{52}`).FindString(stdout)
		hash := sha256.Sum256([]byte(secret))
		keys := w.machine.Config().GetKeys()
		index := slices.IndexFunc(keys, func(k *statev1.Key) bool { return bytes.Equal(k.GetSecretSha256(), hash[:]) })
		if secret == "" || index < 0 {
			w.t.Fatalf("the secret does not fit the stored key: %q", stdout)
		}
		w.secrets = append(w.secrets, secret)
	case "key withdraw":
		w.withdrawn[args[4]] = true
	}
}

func (w *world) checkSecrets(args []string, stderr string) {
	for _, secret := range append(w.secrets, operatorToken) {
		if strings.Contains(w.log.String()+stderr, secret) {
			w.t.Fatalf("%v: a secret is in a log", args)
		}
	}
}

// check compares the state with what the operator was told. Customers with an
// unclear change are left out.
func (w *world) check(t *rapid.T) {
	unclear := make(map[string]bool)
	for _, args := range w.unclear {
		unclear[args[len(args)-1]] = true
		if args[1] == "set" {
			unclear[args[4]] = true
		}
	}
	state := make(map[string]uint64)
	for _, c := range w.machine.Config().GetCustomers() {
		state[c.GetName()] = c.GetRateTokensPerSecond()
	}
	for _, name := range []string{"acme", "umbra", "casa"} {
		if !unclear[name] && state[name] != w.customers[name].rate {
			t.Fatalf("customer %s has rate %d, the operator knows %d", name, state[name], w.customers[name].rate)
		}
	}
	for _, key := range w.machine.Config().GetKeys() {
		if w.withdrawn[key.GetId()] {
			t.Fatalf("key %s exists after its withdrawal", key.GetId())
		}
	}
}

// Guards against a change that is made twice or not at all when answers are
// lost and the tool goes to another server, against an unreported conflict, and
// against secrets in logs and lists.
func TestOperatorUnderFaults(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(operatorToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	names := rapid.SampledFrom([]string{"acme", "umbra", "casa"})
	proptest.Check(t, 100, 20261204, func(t *rapid.T) {
		w := newWorld(t, token)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				rate := rapid.IntRange(0, 9).Draw(t, "rate") // zero is a fault
				w.command("customer", "set", "--wait", "0s", names.Draw(t, "name"), fmt.Sprint("rate_tokens_per_second=", rate), "burst_tokens=1")
			},
			"remove": func(t *rapid.T) {
				w.command("customer", "remove", "--wait", "0s", names.Draw(t, "name"))
			},
			"create key": func(t *rapid.T) { w.command("key", "create", "acme") },
			"withdraw key": func(t *rapid.T) {
				if keys := w.machine.Config().GetKeys(); len(keys) > 0 {
					w.command("key", "withdraw", "--wait", "0s", rapid.SampledFrom(keys).Draw(t, "key").GetId())
				}
			},
			"repeat": func(*rapid.T) {
				w.faults = 0
				for _, id := range slices.Sorted(maps.Keys(w.unclear)) {
					w.judge(id, w.unclear[id])
				}
			},
			"late proposals": func(t *rapid.T) { w.fleets[rapid.IntRange(0, 2).Draw(t, "fleet")].flush() },
			"list": func(t *rapid.T) {
				w.faults = 0
				_, table, _ := w.run("list", "key", "list")
				_, values, _ := w.run("list", "-o", "json", "key", "list")
				_, config, _ := w.run("list", "config", "get")
				for _, secret := range w.secrets {
					if strings.Contains(table+values+config, secret) {
						t.Fatal("a secret is in a list")
					}
				}
				for _, key := range w.machine.Config().GetKeys() {
					if strings.Contains(table+values+config, base64.StdEncoding.EncodeToString(key.GetSecretSha256())) {
						t.Fatal("a key hash is in a list")
					}
				}
			},
			"": w.check,
		})
	})
}
