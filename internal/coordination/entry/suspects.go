package entry

import (
	"context"
	"fmt"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/quarantine"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// crashBucket groups the reports of several entries on the same crash: all
	// reports on one endpoint within the same bucket of time count as one crash.
	crashBucket = 30 * time.Second
	// livenessTimeout bounds the call that distinguishes a crashed endpoint from one
	// that only closed a connection or restarted immediately.
	livenessTimeout = time.Second
	reportAttempts  = 3
)

func (s *Server) trackAttempt(c *call, a *attempt) {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	s.suspects.tracker.Begin(a.to.Name, a.number, c.suspect)
}

func (s *Server) markAlive(endpoint string) {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	s.suspects.tracker.MarkAlive(endpoint)
}

// endAttempt records the end of an attempt and reports a crash if it completes one.
func (s *Server) endAttempt(c *call, a *attempt, err error) {
	s.suspects.mu.Lock()
	var crash quarantine.Crash
	var cleared *statev1.SuspectsCleared
	crashed := false
	switch {
	case err == nil:
		cleared = s.suspects.tracker.Succeeded(a.to.Name, a.number)
	case lostConnection(c, err):
		crash, crashed = s.suspects.tracker.Lost(s.now(), a.to.Name, a.number)
	default:
		crash, crashed = s.suspects.tracker.Ended(s.now(), a.to.Name, a.number)
	}
	s.suspects.mu.Unlock()
	if crashed {
		go s.reportCrash(c, a, crash)
	}
	if cleared != nil {
		go s.proposeEvidence(&statev1.Command{Op: &statev1.Command_SuspectsCleared{SuspectsCleared: cleared}})
	}
}

// lostConnection reports whether the connection broke as it does when the endpoint
// crashes. A response of a service that is cut off more likely means a fault of the
// service, and does not count.
func lostConnection(c *call, err error) bool {
	switch resultcode.Of(err) {
	case resultcode.EndpointLost:
		return true
	case resultcode.StreamBroken, resultcode.AnswerIncomplete:
		return c.model()
	default:
		return false
	}
}

// crashID returns the identifier of a crash, which is the same at all entries that
// lost requests in it. If the endpoint ran only this request, no other entry sees the
// crash, and the identifier is unique: several crashes of an endpoint that restarts
// within one bucket would otherwise count as one.
func crashID(a *attempt) string {
	if a.onIdleEndpoint {
		return a.to.Name + "/" + a.id
	}
	return fmt.Sprintf("%s/%d", a.to.Name, time.Now().UnixNano()/int64(crashBucket))
}

// reportCrash reports the suspects of a crash to the fleet. If the endpoint responds,
// it may only have closed a connection. A request that was not suspected before is
// then reported as if other requests had run beside it, which weighs less.
func (s *Server) reportCrash(c *call, a *attempt, crash quarantine.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	load := s.config.Engine.Load
	if !c.model() {
		load = s.config.Service.Load
	}
	_, err := load(ctx, a.to)
	cancel()
	s.suspects.mu.Lock()
	suspected := s.suspects.tracker.Suspected(crash.Requests[0])
	s.suspects.mu.Unlock()
	weak := s.schedule.othersRunning(crash.Endpoint) || err == nil && !suspected
	report := crash.Report(crashID(a), weak)
	s.observer.Crashed(crash.Endpoint, len(crash.Requests))
	s.log.Warn("endpoint crashed", "endpoint", crash.Endpoint, "suspects", len(crash.Requests), "answers", err == nil)
	s.proposeEvidence(&statev1.Command{Op: &statev1.Command_SuspectReport{SuspectReport: report}})
}

// proposeEvidence proposes what this entry learned about a suspect, with retries.
func (s *Server) proposeEvidence(c *statev1.Command) {
	var err error
	for range reportAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		_, err = s.replica.Propose(ctx, c)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(claimRetryInterval)
	}
	s.log.Warn("evidence on suspects not reported", "error", err)
}
