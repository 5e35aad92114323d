package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

func codeText(c resultcode.Code) string { return strconv.Itoa(int(c)) }

// setRate changes the customer's rate and stores id as the comment of the version.
func (f *fleet) setRate(id string, rate uint64) {
	f.t.Helper()
	f.retryChange(func(ctx context.Context, a adminv1.Admin) error {
		base, err := a.GetConfig(ctx, &adminv1.GetConfigRequest{})
		if err != nil {
			return err
		}
		r, err := a.ApplyConfig(ctx, &adminv1.ApplyConfigRequest{RequestId: id, Change: &statev1.ConfigChange{
			BaseVersion: base.GetConfig().GetVersion(),
			Upserts:     &statev1.Config{Customers: []*statev1.Customer{{Name: "c", RateTokensPerSecond: rate, BurstTokens: 100_000, MaxOpenRequests: 1000}}},
			Comment:     id,
		}})
		if err != nil {
			return err
		}
		if r.GetCode() != 0 {
			return fmt.Errorf("refused: %s", r.GetMessage())
		}
		return nil
	})
}

// checkHistory checks that the history of a VM has each change exactly once, in
// order.
func (f *fleet) checkHistory(v *vm, ids []string) {
	f.t.Helper()
	var history *adminv1.ConfigHistoryResponse
	f.waitFor("the history of "+v.name, func() bool {
		var err error
		history, err = f.admin(v).ConfigHistory(context.Background(), &adminv1.ConfigHistoryRequest{Limit: 1000})
		return err == nil
	})
	var found []string
	for _, version := range history.GetVersions() {
		if strings.HasPrefix(version.GetComment(), "change-") {
			found = append([]string{version.GetComment()}, found...)
		}
	}
	if strings.Join(found, " ") != strings.Join(ids, " ") {
		f.t.Errorf("%s: history is %v, accepted changes are %v", v.name, found, ids)
	}
}

// Guards against accepted changes that are lost, applied twice or reverted when
// daemons are killed by SIGKILL during writes.
func TestKillDuringChanges(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	var ids []string
	for round := range 6 {
		victim := f.vms[round%3]
		if round%2 == 0 {
			victim = f.leader()
		}
		var wg sync.WaitGroup
		wg.Go(func() { f.killDaemon(victim) })
		for i := range 5 {
			id := fmt.Sprintf("change-%d", round*5+i)
			f.setRate(id, uint64(100_000+len(ids)))
			ids = append(ids, id)
		}
		wg.Wait()
		f.startDaemon(victim)
		f.waitReady(victim)
	}
	for _, v := range f.vms {
		f.checkHistory(v, ids)
		if r := f.chat(v, 4); !r.complete(4) {
			t.Errorf("%s: response %+v", v.name, r)
		}
	}
}

// Guards against a leader that acts on stale state after it was paused for longer
// than every lease: a key that was withdrawn meanwhile must be refused.
func TestFrozenLeader(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	paused := f.leader()
	f.must(paused.process.Process.Signal(syscall.SIGSTOP))
	// Longer than the freshness lease (4 s) and the token lease (5 s).
	time.Sleep(6 * time.Second)
	var others []*vm
	for _, v := range f.vms {
		if v != paused {
			others = append(others, v)
		}
	}
	survivors := &fleet{t: t, vms: others}
	survivors.retryChange(func(ctx context.Context, a adminv1.Admin) error {
		_, err := a.WithdrawKey(ctx, &adminv1.WithdrawKeyRequest{RequestId: "withdraw", KeyId: f.keyID})
		return err
	})
	f.must(paused.process.Process.Signal(syscall.SIGCONT))
	for range 50 {
		r := f.chat(paused, 1)
		if r.status == http.StatusOK {
			t.Fatalf("the VM that was paused accepted the withdrawn key: %+v", r)
		}
	}
	f.waitReady(paused)
	if r := f.chat(paused, 1); r.code != codeText(resultcode.KeyUnknown) {
		t.Errorf("withdrawn key: %+v", r)
	}
	if r := f.post(paused, "/open/x", "", "", "{}"); r.status != http.StatusOK {
		t.Errorf("open route: %+v", r)
	}
}

// Guards against a repair that is reported complete too early: after a VM lost its
// disk and rejoined, a second VM fails at once and no accepted change may be lost.
func TestLostDiskThenSecondFailure(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	f.setRate("change-0", 100_001)
	lost := f.vms[2]
	before := f.memberID(lost.name)
	f.killDaemon(lost)
	f.must(os.RemoveAll(filepath.Join(lost.dir, "data")))
	f.startDaemon(lost)
	f.waitFor("the VM rejoins as a voter", func() bool {
		id := f.memberID(lost.name)
		return id != 0 && id != before && f.voterCount() == 3
	})
	f.killDaemon(f.leader())
	f.setRate("change-1", 100_002)
	f.checkHistory(lost, []string{"change-0", "change-1"})
	f.waitReady(lost)
	if r := f.chat(lost, 4); !r.complete(4) {
		t.Errorf("response %+v", r)
	}
}

// memberID returns the control member identifier of a VM, or zero if unknown.
func (f *fleet) memberID(name string) uint64 {
	for _, v := range f.vms {
		list, err := f.admin(v).ListVMs(context.Background(), &adminv1.ListVMsRequest{})
		if err != nil {
			continue
		}
		for _, one := range list.GetVms() {
			if one.GetName() == name && one.GetMemberId() != 0 {
				return one.GetMemberId()
			}
		}
	}
	return 0
}

// Guards against a graceful shutdown that truncates an in-flight response.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	v := f.vms[0]
	const tokens = 1000 // at least 5 s, longer than the time until the listeners close
	replies := make(chan reply, 1)
	go func() { replies <- f.chat(v, tokens) }()
	f.waitFor("the stream is at the engine", func() bool { return f.engineState().Running > 0 || len(replies) > 0 })
	f.must(v.process.Process.Signal(syscall.SIGTERM))
	r := <-replies
	if !r.complete(tokens) {
		t.Errorf("the stream was truncated: status %d, code %q, error %v, end of body %q", r.status, r.code, r.err, r.body[max(0, len(r.body)-500):])
	}
	if err := v.process.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards against a non-idempotent request that runs twice when its caller retries
// it through other VMs while VMs are killed.
func TestAtMostOnceUnderKills(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	var mu sync.Mutex
	bodies := make(map[string]string)
	for round := range 3 {
		victim := f.vms[round]
		var wg sync.WaitGroup
		for n := range 8 {
			wg.Go(func() {
				key := fmt.Sprintf("pay-%d-%d", round, n)
				for attempt := range 6 {
					r := f.post(f.vms[(n+attempt)%3], "/ledger/pay", f.key, key, `{"amount":1}`)
					if r.err != nil || r.status != http.StatusOK {
						continue
					}
					mu.Lock()
					if first, ok := bodies[key]; ok && first != r.body {
						t.Errorf("%s: responses %q and %q differ", key, first, r.body)
					}
					bodies[key] = r.body
					mu.Unlock()
				}
			})
		}
		f.killDaemon(victim)
		wg.Wait()
		f.startDaemon(victim)
		f.waitReady(victim)
	}
	for key, runs := range f.serviceState().RunsByKey {
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	if len(bodies) == 0 {
		t.Error("no request succeeded")
	}
}

// Guards against a customer that exceeds its rate and burst by using all VMs at
// once, also when one of them is killed while it holds leased tokens.
func TestRateHoldsOverAllVMs(t *testing.T) {
	const rate, burst, tokens = 400, 1000, 50
	f := startFleet(t, 3, rate, burst)
	start := time.Now()
	var received atomic.Int64
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			for range 6 {
				r := f.chat(f.vms[n%3], tokens)
				received.Add(int64(strings.Count(r.body, `"content"`)))
			}
		})
	}
	f.waitFor("some traffic", func() bool { return received.Load() > burst/2 })
	f.killDaemon(f.vms[2])
	wg.Wait()
	total := received.Load()
	limit := burst + rate*time.Since(start).Seconds()
	if float64(total) > limit {
		t.Errorf("%d tokens received, limit %.0f", total, limit)
	}
	if total == 0 {
		t.Error("no tokens were received")
	}
}

// Guards against callers that wait forever, or receive a truncated or duplicated
// response, when open connections to the only engine stall and new ones work.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	for _, v := range f.vms {
		f.chat(v, 1) // leaves an idle connection, which also stalls
	}
	const tokens = 400
	replies := make(chan reply, len(f.vms))
	for _, v := range f.vms {
		go func() { replies <- f.chat(v, tokens) }()
	}
	f.waitFor("the streams are at the engine", func() bool { return f.engineState().Running == len(f.vms) })
	resp, err := http.Post("http://"+f.engine.Addr()+"/admin/silence-open", "", nil)
	f.must(err)
	f.must(resp.Body.Close())
	for range f.vms {
		if r := <-replies; !r.complete(tokens) {
			t.Errorf("stream: status %d, code %q, error %v, end of body %q", r.status, r.code, r.err, r.body[max(0, len(r.body)-300):])
		}
	}
	for _, v := range f.vms {
		if r := f.chat(v, 3); !r.complete(3) {
			t.Errorf("%s: response %+v", v.name, r)
		}
	}
}

// Guards against documented metrics that are never updated (the leader, leases,
// and attainment by customer and profile), and against secrets in metrics,
// refusals and logs.
func TestMetrics(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	for _, v := range f.vms {
		if r := f.chat(v, 4); !r.complete(4) {
			t.Fatalf("%s: response %+v", v.name, r)
		}
	}
	scrapes := func() (all string) {
		for _, v := range f.vms {
			resp, err := http.Get("http://" + v.metricsAddr + "/metrics")
			f.must(err)
			data, err := io.ReadAll(resp.Body)
			f.must(err)
			f.must(resp.Body.Close())
			all += string(data)
		}
		return all
	}
	f.waitFor("one leader in the scrapes", func() bool { return strings.Count(scrapes(), "radishloom_leader 1\n") == 1 })
	f.waitFor("granted leases in the scrapes", func() bool {
		all := scrapes()
		return strings.Contains(all, `radishloom_lease_tokens_total{direction="granted"}`) && strings.Contains(all, "radishloom_lease_level ")
	})
	f.post(f.vms[0], "/v1/chat/completions", f.key+"x", "", `{"model":"m"}`)
	f.post(f.vms[0], "/ledger/pay?key="+f.key, f.key, "", `{}`)
	if all := scrapes(); strings.Contains(all, f.key) || strings.Contains(all, operatorToken) {
		t.Error("the metrics contain a secret")
	}
	if all := scrapes(); strings.Count(all, `radishloom_requests_total{attained="true",customer="c",profile="p"} 1`) != 3 {
		t.Errorf("attained requests are not counted once per VM:\n%s", all)
	}
}
