package main

import (
	"maps"
	"sync"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Fleet and load of the case in which endpoints restart at another software version.
const (
	upgradeEntries = 5
	// textService is a plain service whose endpoints answer with streams.
	textService   = "texts"
	textEndpoints = 10
	// upgraded is the number of endpoints that restart, one after the other, upgradeGap
	// apart.
	upgraded   = 3
	upgradeGap = 800 * time.Millisecond
	// listLag is lagMs of the deployment.
	listLag        = 800 * time.Millisecond
	upgradeStreams = 50
	// settleTime is the time between the begin of the last stream and the first restart.
	settleTime = time.Second
)

// serveTexts makes the route of the streams lead to the plain service.
func serveTexts(document, route map[string]any) {
	for _, s := range document["services"].([]any) { // the stand-in's catalog has lists of tables
		if service := s.(map[string]any); service["name"] == "plain" {
			texts := maps.Clone(service)
			texts["name"] = textService
			document["services"] = append(document["services"].([]any), texts)
		}
	}
	route["service"] = textService
}

// upgradeFleet starts a fleet with a plain service whose endpoints all have one version.
func upgradeFleet(rec *record) (*fleet, []*standin.Endpoint, error) {
	f, err := newFleet(rec, controlVMs, upgradeEntries)
	if err != nil {
		return nil, nil, err
	}
	setRunning(f)
	var texts []*standin.Endpoint
	for range textEndpoints {
		e, err := f.addEndpoint(textService, "v1", standin.Model)
		if err != nil {
			return nil, nil, err
		}
		texts = append(texts, e)
	}
	document, err := change(1, serveTexts)
	if err != nil {
		return nil, nil, err
	}
	return f, texts, f.start(document)
}

// upgradeInPlace checks that no stream holds events of two software versions while endpoints
// restart under their identifiers and addresses. Without trouble they restart at the version
// that they had.
func upgradeInPlace(rec *record, trouble bool) (outcome, error) {
	f, texts, err := upgradeFleet(rec)
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(contactTime)
	t := &tally{}
	var calls sync.WaitGroup
	for n := range int64(upgradeStreams) {
		at, other := f.entries[n%upgradeEntries], f.entries[(n+1)%upgradeEntries]
		calls.Go(func() { longCaller(f, t, at, []*vm{other, at}, 1+n, 3, func() {}) })
		time.Sleep(beginSpread)
	}
	time.Sleep(settleTime)
	version := "v1"
	if trouble {
		version = "v2"
	}
	for _, e := range texts[:upgraded] {
		rec.add("endpoint %s restarts under its identifier at version %s; the list shows it %v later", e.Name(), version, listLag)
		if err := e.Replace(standin.Replacement{ID: e.Name(), Version: version, Lag: listLag, Models: []string{standin.Model}}); err != nil {
			return outcome{}, err
		}
		time.Sleep(upgradeGap)
	}
	calls.Wait()
	return t.joinVerdict(upgradeStreams), nil
}
