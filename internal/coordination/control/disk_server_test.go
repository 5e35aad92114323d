package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

// serverCalls are the kinds of calls to a server. Each returns nil once it is
// acknowledged.
var serverCalls = []struct {
	name string
	call func(ctx context.Context, s *Server, n uint64) error
}{
	{"configuration", func(ctx context.Context, s *Server, n uint64) error {
		var base uint64
		if err := s.Read(ctx, true, func(m *fleet.Machine) { base = m.Config().GetVersion() }); err != nil {
			return err
		}
		resp, err := s.Propose(ctx, customerChange(fmt.Sprint("c", n), base))
		if err == nil && resp.GetResult().GetCode() != 0 {
			return resultcode.New(resultcode.Code(resp.GetResult().GetCode()), "%s", resp.GetResult().GetMessage())
		}
		return err
	}},
	{"catalog", func(ctx context.Context, s *Server, n uint64) error { return s.PutCatalog(ctx, catalogCommand(n)) }},
	{"evacuation", func(ctx context.Context, s *Server, n uint64) error {
		_, err := s.SetEvacuation(ctx, fmt.Sprint("e", n), "operator", "east", n%2 == 0)
		return err
	}},
	{"quarantine", func(ctx context.Context, s *Server, n uint64) error {
		return s.PutQuarantine(ctx, &statev1.PutQuarantine{Traits: []*statev1.QuarantinedTrait{{Trait: fmt.Sprint(n), Crashes: 2}}})
	}},
	{"sync", func(ctx context.Context, s *Server, n uint64) error {
		_, err := s.Sync(ctx, &peerv1.SyncRequest{Entry: entrySync(n, 0)})
		return err
	}},
	{"read", func(ctx context.Context, s *Server, _ uint64) error {
		return s.Read(ctx, true, func(*fleet.Machine) {})
	}},
}

// callServers makes all kinds of calls at all servers at the same time. Each caller
// calls for the given time, or until it is acknowledged. It returns an error for each
// call that was not acknowledged in time.
func callServers(ctx context.Context, servers []*runningServer, numbers *atomic.Uint64, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	errs := make([]error, len(servers)*len(serverCalls))
	var callers sync.WaitGroup
	for i, s := range servers {
		for k, kind := range serverCalls {
			callers.Go(func() {
				started := time.Now()
				for {
					callCtx, cancel := context.WithTimeout(ctx, resendTime)
					err := kind.call(callCtx, s.Server, numbers.Add(1))
					cancel()
					if err == nil {
						return
					}
					if ctx.Err() != nil {
						errs[i*len(serverCalls)+k] = fmt.Errorf("%s at vm%d after %v: %w", kind.name, i, time.Since(started), err)
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	return errors.Join(errs...)
}

// Guards against a server that, after the disks of all servers were full in turn,
// refuses a call or does not answer it: callers at each server, forwarding, waiting
// for a leader and long polls included.
func TestServersServeAfterDisksFullInTurn(t *testing.T) {
	for _, count := range []int{3, 5} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			n := &network{servers: map[string]*Server{}}
			var servers []*runningServer
			for i := range count {
				servers = append(servers, n.start(t, i, count, newDisk()))
			}
			eventually(t, "all servers vote", func() bool { return servers[0].voters(t) == count })
			var numbers atomic.Uint64
			for i := range servers {
				s := servers[i]
				s.disk.SetFreeBytes(100 * i)
				for end := time.Now().Add(time.Second); time.Now().Before(end); {
					_ = callServers(t.Context(), servers, &numbers, time.Until(end))
				}
				s.disk.SetFreeBytes(freeDisk)
				_ = callServers(t.Context(), servers, &numbers, 300*time.Millisecond)
			}
			for range 2 {
				if err := callServers(t.Context(), servers, &numbers, ackTime); err != nil {
					t.Fatalf("calls not acknowledged %v after all disks have room: %v", ackTime, err)
				}
			}
			for i, s := range servers {
				select {
				case err := <-s.ended:
					t.Fatalf("vm%d stopped: %v", i, err)
				default:
				}
			}
		})
	}
}

// Guards against a follower that refuses most changes since its own disk is full, although
// the leader and a majority can commit them.
func TestFullDiskOfAFollowerDoesNotRefuseChanges(t *testing.T) {
	n := &network{servers: map[string]*Server{}}
	var servers []*runningServer
	for i := range 3 {
		servers = append(servers, n.start(t, i, 3, newDisk()))
	}
	eventually(t, "all servers vote and have a leader", func() bool {
		return servers[0].voters(t) == 3 && servers[0].hasLeader(t) && servers[1].hasLeader(t)
	})
	follower := servers[0]
	if _, leading := follower.Leading(t.Context()); leading {
		follower = servers[1]
	}
	follower.disk.SetFreeBytes(0)
	var numbers atomic.Uint64
	ctx, cancel := context.WithCancel(t.Context())
	var load sync.WaitGroup
	load.Go(func() {
		for ctx.Err() == nil {
			_ = servers[2].PutCatalog(ctx, catalogCommand(numbers.Add(1)))
			time.Sleep(5 * time.Millisecond)
		}
	})
	acknowledged, refused := 0, 0
	for acknowledged+refused < 20 {
		switch resultcode.Of(follower.PutCatalog(t.Context(), catalogCommand(numbers.Add(1)))) {
		case resultcode.OK:
			acknowledged++
		case resultcode.DiskFull:
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	load.Wait()
	// On a busy machine the leader may change, for longer than a call waits for one.
	if refused > 2 {
		t.Fatalf("%d of 20 changes were refused with %v", refused, resultcode.DiskFull)
	}
}

// Guards against a full disk that is not reported as such, or late, where no other
// member can lead.
func TestFullDiskWithoutALeaderIsReported(t *testing.T) {
	n := &network{servers: map[string]*Server{}}
	s := n.start(t, 0, 1, newDisk())
	propose(t, s, customerChange("a", 0), 1)
	s.disk.SetFreeBytes(0)
	for range 3 {
		started := time.Now()
		_, err := s.Propose(t.Context(), customerChange("b", 1))
		if took := time.Since(started); resultcode.Of(err) != resultcode.DiskFull || took > 2*diskFullWait {
			t.Fatalf("got %v after %v, want %v within %v", err, took, resultcode.DiskFull, 2*diskFullWait)
		}
	}
	s.disk.SetFreeBytes(freeDisk)
	propose(t, s, customerChange("b", 1), 2)
}
