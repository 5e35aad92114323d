package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// foundingTime is how long a fleet may take to be founded and to have a leader.
const foundingTime = 8 * time.Second

func seedMember(i int) *statev1.Member {
	return &statev1.Member{Vm: fmt.Sprint("vm", i), Address: fmt.Sprint("10.0.0.", i+1, ":1")}
}

// startSeed starts control VM i for the first time, with seeds in the order of its list.
func (n *network) startSeed(t *testing.T, i int, order ...int) *runningServer {
	t.Helper()
	var peers []*statev1.Member
	for _, k := range order {
		peers = append(peers, seedMember(k))
	}
	disk := newDisk()
	r := n.run(t, Config{Dir: "data", FS: disk, Member: seedMember(i), Peers: peers, Bootstrap: true, Transport: n})
	r.disk = disk
	return r
}

// checkOneFleet fails unless all servers vote in one fleet and know its leader.
func checkOneFleet(t *testing.T, servers ...*runningServer) {
	t.Helper()
	for i, s := range servers {
		m, err := s.Members(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if m.GetLeader() == 0 || len(m.GetMembership().GetMembers()) != len(servers) {
			t.Errorf("server %d knows the leader %x and the members %v, want %d members", i, m.GetLeader(), m.GetMembership().GetMembers(), len(servers))
		}
		for _, other := range servers {
			if findMember(m.GetMembership(), other.MemberID()) == nil {
				t.Errorf("server %d does not know %v as a member", i, other)
			}
		}
	}
}

// checkSameFleet fails unless all servers are members of one fleet and know its leader. It
// may have further members.
func checkSameFleet(t *testing.T, servers ...*runningServer) {
	t.Helper()
	leaders := map[uint64]bool{}
	for i, s := range servers {
		m, err := s.Members(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		leaders[m.GetLeader()] = true
		if findMember(m.GetMembership(), s.MemberID()) == nil {
			t.Errorf("server %d is no member of its fleet: %v", i, m.GetMembership().GetMembers())
		}
	}
	if len(leaders) != 1 || leaders[0] {
		t.Errorf("the servers know the leaders %v, want the same one", leaders)
	}
}

func stopAll(t *testing.T, servers ...*runningServer) {
	t.Helper()
	for _, s := range servers {
		s.cancel()
		if err := <-s.ended; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	}
}

func foundFleet(t *testing.T, a, b, c []int) {
	n := &network{servers: map[string]*Server{}, delay: time.Millisecond}
	servers := []*runningServer{n.startSeed(t, 0, a...), n.startSeed(t, 1, b...), n.startSeed(t, 2, c...)}
	time.Sleep(foundingTime)
	checkOneFleet(t, servers...)
	stopAll(t, servers...)
}

// Guards against two fleets if each VM stands first in its own list of the same seeds, and
// against none if no VM does.
func TestSeedsInAnyOrderFoundOneFleet(t *testing.T) {
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	for _, a := range orders {
		for _, b := range orders {
			for _, c := range orders {
				t.Run(fmt.Sprint(a, b, c), func(t *testing.T) {
					virtualtime.Test(t, func(t *testing.T) { foundFleet(t, a, b, c) })
				})
			}
		}
	}
}

// Guards against a first election that waits for an election timeout.
func TestFirstLeaderIsElectedWithTheFounding(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := &network{servers: map[string]*Server{}, delay: time.Millisecond}
		servers := []*runningServer{n.startSeed(t, 0, 2, 1, 0), n.startSeed(t, 1, 0, 1, 2), n.startSeed(t, 2, 1, 0, 2)}
		time.Sleep(electionTicks * tickInterval / 2)
		for i, s := range servers {
			m, err := s.Members(t.Context())
			if err != nil || m.GetLeader() != servers[0].MemberID() {
				t.Errorf("server %d knows the leader %x, error %v, want the first seed by address", i, m.GetLeader(), err)
			}
		}
		stopAll(t, servers...)
	})
}

// Guards against a fleet that is never founded since one seed is lost right after the
// first start.
func TestFleetIsFoundedWithoutOneSeed(t *testing.T) {
	for lost := range 3 {
		t.Run(fmt.Sprint("seed ", lost), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				n := &network{servers: map[string]*Server{}, delay: time.Millisecond, hangs: seedMember(lost).GetAddress()}
				var servers []*runningServer
				for i := range 4 {
					if i != lost {
						servers = append(servers, n.startSeed(t, i, 0, 1, 2))
					}
				}
				time.Sleep(foundingTime)
				checkSameFleet(t, servers...)
				stopAll(t, servers...)
			})
		})
	}
}

// Guards against a VM whose older settings name other seeds, and which founds a fleet of
// its own or keeps the others from founding one.
func TestSeedWithAnOldListJoinsTheFleet(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := &network{servers: map[string]*Server{}, delay: time.Millisecond}
		servers := []*runningServer{n.startSeed(t, 0, 0, 1, 2), n.startSeed(t, 1, 0, 1, 2), n.startSeed(t, 2, 2, 0, 9)}
		time.Sleep(foundingTime)
		checkOneFleet(t, servers...)
		stopAll(t, servers...)
	})
}

// A seedFault is what happens to one seed during the first start.
type seedFault int

const (
	seedRestarts seedFault = iota // the process is killed and started with its disk
	seedHangs                     // calls to it get no answer for some time
	seedIsLost                    // the VM is gone for good
	seedFaults                    // number of faults
)

// foundFleetUnderFault starts three seeds within 0.3 s, lets one fail, and checks that the
// others and it, if it comes back, form one fleet.
func foundFleetUnderFault(t *testing.T, r *rand.Rand) {
	n := &network{servers: map[string]*Server{}, delay: time.Millisecond}
	var servers []*runningServer
	for i := range 3 {
		servers = append(servers, n.startSeed(t, i, r.Perm(3)...))
		time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
	}
	time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	pause := time.Duration(r.IntN(3000)) * time.Millisecond
	k := r.IntN(len(servers))
	failing := servers[k]
	switch fault := seedFault(r.IntN(int(seedFaults))); fault {
	case seedHangs:
		n.hang(failing.cfg.Member.GetAddress())
		time.Sleep(pause)
		n.hang("")
	default:
		stopAll(t, failing)
		failing.disk.Crash()
		servers = append(servers[:k], servers[k+1:]...)
		if fault == seedRestarts {
			time.Sleep(pause)
			c := failing.cfg
			c.Bootstrap = false
			servers = append(servers, n.run(t, c))
		}
	}
	time.Sleep(foundingTime)
	checkSameFleet(t, servers...)
	stopAll(t, servers...)
}

// Guards against two fleets, or none, if a seed fails while the fleet is founded.
func TestSeedsFoundOneFleetUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { foundFleetUnderFault(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}
