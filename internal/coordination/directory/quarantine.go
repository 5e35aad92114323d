package directory

import (
	"context"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/suspect"
)

const (
	// suspicionSaveInterval is the shortest time between two saves for open suspicions:
	// their list changes with each answer that clears a part.
	suspicionSaveInterval = 500 * time.Millisecond
	// quarantineAgeInterval is the shortest time between two saves for later crashes
	// under a quarantine that is saved already.
	quarantineAgeInterval = time.Minute
	// quarantineRetryDelay is the pause after a save that failed.
	quarantineRetryDelay = 500 * time.Millisecond
)

// QuarantineStore keeps the quarantine, and open suspicions, in the replicated state. The
// memory of the leader and its followers does not survive a restart of all control VMs.
type QuarantineStore interface {
	// Quarantine returns what this VM has applied. A leader has applied all that
	// earlier leaders saved.
	Quarantine(ctx context.Context) ([]*statev1.QuarantinedTrait, error)
	// PutQuarantine saves the quarantine of the leader of a term. It has no effect
	// after a leader of a later term has saved its own.
	PutQuarantine(ctx context.Context, q *statev1.PutQuarantine) error
}

// quarantineSave is what the replicated state is known to have.
type quarantineSave struct {
	saveState
	traits map[suspect.Trait]savedTrait
	// nextSuspicion is when a save may begin for open suspicions only.
	nextSuspicion time.Duration
}

// savedTrait is a trait as it was saved.
type savedTrait struct {
	quarantined bool
	lastCrash   time.Duration
}

// due reports whether a list of suspects is to be saved now.
func (q *quarantineSave) due(now time.Duration, list []suspect.Suspect) bool {
	if !q.mayBegin(now) {
		return false
	}
	return q.quarantineChanged(list) || now >= q.nextSuspicion && q.suspicionsChanged(list)
}

func (q *quarantineSave) quarantineChanged(list []suspect.Suspect) bool {
	n := 0
	for _, t := range list {
		if !t.Quarantined {
			continue
		}
		n++
		if saved := q.traits[t.Trait]; !saved.quarantined || t.Last-saved.lastCrash >= quarantineAgeInterval {
			return true
		}
	}
	return n != q.count(true)
}

func (q *quarantineSave) suspicionsChanged(list []suspect.Suspect) bool {
	n := 0
	for _, t := range list {
		if t.Quarantined {
			continue
		}
		n++
		if saved, known := q.traits[t.Trait]; !known || saved.quarantined || t.Last > saved.lastCrash {
			return true
		}
	}
	return n != q.count(false)
}

// count returns how many of the saved traits are, or are not, under quarantine.
func (q *quarantineSave) count(quarantined bool) int {
	n := 0
	for _, t := range q.traits {
		if t.quarantined == quarantined {
			n++
		}
	}
	return n
}

func (q *quarantineSave) record(list []suspect.Suspect) {
	q.traits = make(map[suspect.Trait]savedTrait, len(list))
	for _, t := range list {
		q.traits[t.Trait] = savedTrait{quarantined: t.Quarantined, lastCrash: t.Last}
	}
}

// restoreQuarantineLocked takes over the quarantine and the open suspicions that earlier
// leaders saved.
func (s *Server) restoreQuarantineLocked(stored []*statev1.QuarantinedTrait) {
	now := s.now()
	list := make([]suspect.Suspect, 0, len(stored))
	for _, t := range stored {
		list = append(list, suspect.Suspect{
			Trait: suspect.Trait(t.GetTrait()), Quarantined: !t.GetOpen(), Crashes: int(t.GetCrashes()),
			Last: now - time.Duration(t.GetLastCrashMs())*time.Millisecond,
		})
	}
	s.mu.quarantineSave.record(list)
	s.mu.suspects.Merge(now, list)
	s.evaluateSuspectsLocked()
}

// saveQuarantine begins to save the list of suspects if it has changed.
func (s *Server) saveQuarantine(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, save := s.now(), &s.mu.quarantineSave
	list := s.mu.listedSuspects
	if !save.due(now, list) {
		return
	}
	declared := &statev1.PutQuarantine{Term: s.mu.term}
	for _, t := range list {
		declared.Traits = append(declared.Traits, &statev1.QuarantinedTrait{
			Trait: string(t.Trait), Crashes: uint32(t.Crashes), Open: !t.Quarantined,
			LastCrashMs: uint64(max(0, now-t.Last).Milliseconds()),
		})
	}
	save.begin()
	go func() {
		err := s.cfg.Quarantine.PutQuarantine(ctx, declared)
		s.quarantineSaved(declared.GetTerm(), list, err)
	}()
}

// quarantineSaved records the outcome of a save.
func (s *Server) quarantineSaved(term uint64, list []suspect.Suspect, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	save := &s.mu.quarantineSave
	save.end(s.now(), err, quarantineRetryDelay)
	save.nextSuspicion = s.now() + suspicionSaveInterval
	if err != nil {
		s.cfg.Log.Warn("quarantine not saved", "term", term, "traits", len(list), "error", err)
		return
	}
	s.cfg.Log.Info("quarantine saved", "term", term, "traits", len(list))
	if term == s.mu.term {
		save.record(list)
	}
}
