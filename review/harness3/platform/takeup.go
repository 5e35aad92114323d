package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Fleet and load of the cases in which callers take up streams.
const (
	controlVMs, entryVMs = 3, 6
	longStreams          = 20
	// beginSpread is the time between the begins of two long streams.
	beginSpread = 50 * time.Millisecond
	// reportTime is how long the fleet has, after the last stream has begun, before
	// anything else happens.
	reportTime = 2 * time.Second
	// contactTime is contactMs of the deployment: machines are in touch that long after a
	// disruption.
	contactTime = 3 * time.Second
	// countTime is how long new streams are counted at least.
	countTime = 6 * time.Second
)

// takeUpFleet starts a fleet whose engines have two software versions, with four engines of
// one and two of the other.
func takeUpFleet(rec *record) (*fleet, error) {
	f, err := newFleet(rec, controlVMs, entryVMs)
	if err != nil {
		return nil, err
	}
	setRunning(f)
	for _, version := range []string{"v1", "v1", "v1", "v1", "v2", "v2"} {
		if _, err := f.addEndpoint("models", version, standin.Model); err != nil {
			return nil, err
		}
	}
	for range 2 {
		if _, err := f.addEndpoint("plain", "v1"); err != nil {
			return nil, err
		}
	}
	return f, f.start(standin.CatalogWithTimeout(1, streamDeadline, apiKey))
}

// change returns a version of the first catalog with a change. Edit gets the document and
// the route of the streams.
func change(version uint64, edit func(document, route map[string]any)) ([]byte, error) {
	var document map[string]any
	if err := json.Unmarshal(standin.CatalogWithTimeout(version, streamDeadline, apiKey), &document); err != nil {
		return nil, err
	}
	for _, r := range document["routes"].([]any) { // the stand-in's catalog has lists of tables
		if route := r.(map[string]any); route["pathPrefix"] == standin.PrefixResumable {
			edit(document, route)
			return json.Marshal(document)
		}
	}
	return nil, fmt.Errorf("the first catalog has no route %s", standin.PrefixResumable)
}

// addRoute adds a route for streams to the host. It differs from the first one in its name
// and its prefix.
func addRoute(document, route map[string]any) {
	further := maps.Clone(route)
	further["name"], further["pathPrefix"] = "resumed-further", "/further/"
	document["routes"] = append(document["routes"].([]any), further)
}

// takeUpLoad begins the long streams at the first entry and keeps requesting new ones at the
// others.
type takeUpLoad struct {
	tally    *tally
	counting atomic.Bool
	since    time.Time // when counting was set
	stop     chan struct{}
	long     sync.WaitGroup
	short    sync.WaitGroup
}

func startTakeUpLoad(f *fleet) *takeUpLoad {
	l := &takeUpLoad{tally: &tally{}, stop: make(chan struct{})}
	first, others := f.entries[0], f.entries[1:]
	l.short.Go(func() { newStreams(f, l.tally, others, 1000, &l.counting, l.stop) })
	var begun sync.WaitGroup
	for n := range int64(longStreams) {
		begun.Add(1)
		var once sync.Once
		done := func() { once.Do(begun.Done) }
		l.long.Go(func() {
			defer done()
			longCaller(f, l.tally, first, others, 1+n, 3, done)
		})
		time.Sleep(beginSpread)
	}
	begun.Wait()
	return l
}

// count counts the new streams that are requested from now on.
func (l *takeUpLoad) count() {
	l.since = time.Now()
	l.counting.Store(true)
}

// finish waits for the long streams and returns the verdict.
func (l *takeUpLoad) finish() outcome {
	l.long.Wait()
	time.Sleep(countTime - time.Since(l.since))
	close(l.stop)
	l.short.Wait()
	return l.tally.takeUpVerdict()
}

// routeAdded checks that streams go on at other entries after the catalog has got a further
// route: they begin after that, and their entry is killed later.
func routeAdded(rec *record, trouble bool) (outcome, error) {
	f, err := takeUpFleet(rec)
	if err != nil {
		return outcome{}, err
	}
	if trouble {
		document, err := change(2, addRoute)
		if err != nil {
			return outcome{}, err
		}
		if err := f.put(document); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(contactTime)
	l := startTakeUpLoad(f)
	time.Sleep(reportTime)
	l.count()
	f.signal(f.entries[0], syscall.SIGKILL)
	return l.finish(), nil
}
