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
	// crashBucket groups the reports of several entries on one crash: those of
	// the same endpoint within it count as one.
	crashBucket = 30 * time.Second
	// deathCheck bounds the call that tells a dead endpoint from one that only
	// closed a connection, or restarted at once.
	deathCheck     = time.Second
	reportAttempts = 3
)

func (s *Server) beginSuspect(c *call, a *attempt) {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	s.suspects.tracker.Begin(a.to.Name, a.number, c.fingerprint)
}

func (s *Server) alive(endpoint string) {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	s.suspects.tracker.MarkAlive(endpoint)
}

// endSuspect notes the end of an attempt and reports a crash.
func (s *Server) endSuspect(c *call, a *attempt, err error) {
	s.suspects.mu.Lock()
	var crash quarantine.Crash
	crashed := false
	switch {
	case err == nil:
		s.suspects.tracker.Succeeded(a.to.Name, a.number)
	case lost(c, err):
		crash, crashed = s.suspects.tracker.Lost(s.now(), a.to.Name, a.number)
	default:
		crash, crashed = s.suspects.tracker.Ended(s.now(), a.to.Name, a.number)
	}
	s.suspects.mu.Unlock()
	if crashed {
		go s.reportCrash(c, a, crash)
	}
}

// lost says whether the connection broke in a way that a dying endpoint would
// cause. A cut answer of a service is more likely a fault of the service.
func lost(c *call, err error) bool {
	switch resultcode.Of(err) {
	case resultcode.EndpointLost:
		return true
	case resultcode.StreamBroken, resultcode.AnswerIncomplete:
		return c.model()
	default:
		return false
	}
}

// crashID is the same at all entries that lost requests in one crash. A crash
// by an isolated request is seen by this entry only, and has an identifier of its
// own: an endpoint that restarts within the bucket would else count one of
// several crashes.
func crashID(a *attempt) string {
	if a.isolated {
		return a.to.Name + "/" + a.id
	}
	return fmt.Sprintf("%s/%d", a.to.Name, time.Now().UnixNano()/int64(crashBucket))
}

// reportCrash tells the fleet of suspects. If the endpoint answers, it may only
// have closed a connection: a request without an earlier suspicion is then
// weakly suspected, whatever ran beside it.
func (s *Server) reportCrash(c *call, a *attempt, crash quarantine.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), deathCheck)
	load := s.config.Engine.Load
	if !c.model() {
		load = s.config.Service.Load
	}
	_, err := load(ctx, a.to)
	cancel()
	s.suspects.mu.Lock()
	known := s.suspects.tracker.Suspected(crash.Fingerprints[0])
	s.suspects.mu.Unlock()
	weak := s.schedule.othersRunning(crash.Endpoint) || err == nil && !known
	report := crash.Report(crashID(a), weak)
	s.observer.Crashed(crash.Endpoint, len(crash.Fingerprints))
	s.log.Warn("endpoint crashed", "endpoint", crash.Endpoint, "suspects", len(crash.Fingerprints), "answers", err == nil)
	command := &statev1.Command{Op: &statev1.Command_SuspectReport{SuspectReport: report}}
	for range reportAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		_, err := s.replica.Propose(ctx, command)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(claimPause)
	}
	s.log.Warn("suspects could not be reported", "endpoint", crash.Endpoint)
}
