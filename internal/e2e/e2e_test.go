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

// setRate changes the customer's rate, which marks the change with a number.
func (f *fleet) setRate(id string, rate uint64) {
	f.t.Helper()
	f.change(func(ctx context.Context, a adminv1.Admin) error {
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

// checkHistory demands that each change is there exactly once, in order.
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
		f.t.Errorf("%s: history is %v, accepted were %v", v.name, found, ids)
	}
}

// Guards against a change that was accepted and is lost, applied twice or
// reverted when daemons die by SIGKILL in the middle of writes.
func TestKillDuringChanges(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	var ids []string
	for round := range 6 {
		victim := f.vms[round%3]
		if round%2 == 0 {
			victim = f.leader()
		}
		var wg sync.WaitGroup
		wg.Go(func() { f.kill(victim) })
		for i := range 5 {
			id := fmt.Sprintf("change-%d", round*5+i)
			f.setRate(id, uint64(100_000+len(ids)))
			ids = append(ids, id)
		}
		wg.Wait()
		f.start(victim)
		f.waitReady(victim)
	}
	for _, v := range f.vms {
		f.checkHistory(v, ids)
		if r := f.chat(v, 4); !r.whole(4) {
			t.Errorf("%s: answer %+v", v.name, r)
		}
	}
}

// Guards against a leader that was frozen for longer than every lease and acts
// on its old state when it wakes: a key withdrawn meanwhile must not work.
func TestFrozenLeader(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	frozen := f.leader()
	f.must(frozen.process.Process.Signal(syscall.SIGSTOP))
	// Longer than the freshness lease (4 s) and the token lease (5 s).
	time.Sleep(6 * time.Second)
	var others []*vm
	for _, v := range f.vms {
		if v != frozen {
			others = append(others, v)
		}
	}
	awake := &fleet{t: t, vms: others}
	awake.change(func(ctx context.Context, a adminv1.Admin) error {
		_, err := a.WithdrawKey(ctx, &adminv1.WithdrawKeyRequest{RequestId: "withdraw", KeyId: f.keyID})
		return err
	})
	f.must(frozen.process.Process.Signal(syscall.SIGCONT))
	for range 50 {
		r := f.chat(frozen, 1)
		if r.status == http.StatusOK {
			t.Fatalf("the withdrawn key worked at the VM that was frozen: %+v", r)
		}
	}
	f.waitReady(frozen)
	if r := f.chat(frozen, 1); r.code != codeText(resultcode.KeyUnknown) {
		t.Errorf("withdrawn key: %+v", r)
	}
	if r := f.post(frozen, "/open/x", "", "", "{}"); r.status != http.StatusOK {
		t.Errorf("open route: %+v", r)
	}
}

// Guards against a repair that is reported finished too early: after a VM lost
// its disk and came back, a second VM fails at once and nothing may be lost.
func TestLostDiskThenSecondFailure(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	f.setRate("change-0", 100_001)
	lost := f.vms[2]
	before := f.memberID(lost.name)
	f.kill(lost)
	f.must(os.RemoveAll(filepath.Join(lost.dir, "data")))
	f.start(lost)
	f.waitFor("the repair", func() bool {
		id := f.memberID(lost.name)
		return id != 0 && id != before && f.voters() == 3
	})
	f.kill(f.leader())
	f.setRate("change-1", 100_002)
	f.checkHistory(lost, []string{"change-0", "change-1"})
	f.waitReady(lost)
	if r := f.chat(lost, 4); !r.whole(4) {
		t.Errorf("answer %+v", r)
	}
}

// memberID returns the identifier of a VM's control role, zero if unknown.
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

// Guards against a graceful shutdown that cuts a request.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	v := f.vms[0]
	const tokens = 1000 // 5 s and more, longer than the time until listeners close
	answer := make(chan reply, 1)
	go func() { answer <- f.chat(v, tokens) }()
	f.waitFor("the stream is at the engine", func() bool { return f.engineState().Running > 0 || len(answer) > 0 })
	f.must(v.process.Process.Signal(syscall.SIGTERM))
	r := <-answer
	if !r.whole(tokens) {
		t.Errorf("the stream was cut: status %d, code %q, error %v, end of body %q", r.status, r.code, r.err, r.body[max(0, len(r.body)-500):])
	}
	if err := v.process.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards against a non-idempotent request that runs twice when its caller sends
// it again through other VMs while VMs die.
func TestAtMostOnceUnderKills(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	var mu sync.Mutex
	answers := make(map[string]string)
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
					if first, ok := answers[key]; ok && first != r.body {
						t.Errorf("%s: answers %q and %q", key, first, r.body)
					}
					answers[key] = r.body
					mu.Unlock()
				}
			})
		}
		f.kill(victim)
		wg.Wait()
		f.start(victim)
		f.waitReady(victim)
	}
	for key, runs := range f.serviceState().RunsByKey {
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	if len(answers) == 0 {
		t.Error("no request was answered")
	}
}

// Guards against a customer that gets more than its rate and burst by using all
// VMs at once, also when one of them dies with tokens leased to it.
func TestRateHoldsOverAllVMs(t *testing.T) {
	const rate, burst, tokens = 400, 1000, 50
	f := startFleet(t, 3, rate, burst)
	begin := time.Now()
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
	f.kill(f.vms[2])
	wg.Wait()
	generated := received.Load()
	limit := burst + rate*time.Since(begin).Seconds()
	if float64(generated) > limit {
		t.Errorf("%d tokens generated, limit %.0f", generated, limit)
	}
	if generated == 0 {
		t.Error("nothing was generated")
	}
}

// Guards against callers that wait for good, or get a cut or doubled answer,
// when open connections to the only engine go silent while new ones work.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	for _, v := range f.vms {
		f.chat(v, 1) // leaves an idle connection that is silenced, too
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
		if r := <-replies; !r.whole(tokens) {
			t.Errorf("stream: status %d, code %q, error %v, end of body %q", r.status, r.code, r.err, r.body[max(0, len(r.body)-300):])
		}
	}
	for _, v := range f.vms {
		if r := f.chat(v, 3); !r.whole(3) {
			t.Errorf("%s: answer %+v", v.name, r)
		}
	}
}

// Guards against metrics that are named in the operations page and never move:
// the leader, leases, and attainment by customer and profile; and against secrets
// in metrics, refusals and logs.
func TestMetrics(t *testing.T) {
	f := startFleet(t, 3, 100_000, 100_000)
	for _, v := range f.vms {
		if r := f.chat(v, 4); !r.whole(4) {
			t.Fatalf("%s: answer %+v", v.name, r)
		}
	}
	scrapes := func() (all string) {
		for _, v := range f.vms {
			resp, err := http.Get("http://" + v.metrics + "/metrics")
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
		t.Error("a secret is in the metrics")
	}
	if all := scrapes(); strings.Count(all, `radishloom_requests_total{attained="true",customer="c",profile="p"} 1`) != 3 {
		t.Errorf("attainment is not counted:\n%s", all)
	}
}
