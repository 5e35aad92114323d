package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// frozenTime is how long the first machine stands still, wipedTime how long the one is
	// down that loses its disk.
	frozenTime = 6 * time.Second
	wipedTime  = 3 * time.Second
	// recoveryTime is recoveryS with contactMs.
	recoveryTime = 15 * time.Second
)

// playFirstAck freezes one of three control machines for some seconds while the system
// starts for the first time. The machine that has acknowledged the first manifest then
// loses its disk.
func playFirstAck(w *world, trouble bool) ([]string, error) {
	if _, err := w.addServer("s-1", lookupService, 30, answerAtOnce); err != nil {
		return nil, err
	}
	if err := w.start(3, 1); err != nil {
		return nil, err
	}
	frozen := w.control[2]
	if err := waitFor(10*time.Second, "core-1 leads", w.control[0].leads); err != nil {
		return nil, err
	}
	thawed := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		thawed = thawed.Add(frozenTime)
		time.AfterFunc(frozenTime, func() { frozen.signal(syscall.SIGCONT) })
	}
	acker, err := w.putUntilAcked(newManifest(1), 30*time.Second, w.control[:2]...)
	if err != nil {
		return nil, err
	}
	w.rec.notef("version 1 is acknowledged by %s", acker.name)
	if trouble {
		acker.kill()
		if err := acker.wipe(); err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		time.Sleep(wipedTime)
		if err := acker.restart(); err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		time.Sleep(time.Until(thawed))
	}
	w.rec.notef("all machines run")
	time.Sleep(recoveryTime)
	return w.readBack(1), nil
}

// readBack applies the rule on the manifest that is read back at the end of the day.
func (w *world) readBack(acked int) (broken []string) {
	newest := 0
	end := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		from := w.control[i%len(w.control)]
		version, status, err := w.read(from)
		w.rec.addf("operator reads from %s: version %d, status %d, %v", from.name, version, status, err)
		newest = max(newest, version)
		time.Sleep(300 * time.Millisecond)
	}
	w.rec.notef("the newest version that was read back in 10 s is %d", newest)
	if newest < acked {
		broken = append(broken, fmt.Sprintf("CONFIG: version %d was acknowledged, and does not come when it is read back", acked))
	}
	if !w.entries[0].ready() {
		broken = append(broken, "RECOVER: no entry is ready, no request can be served")
	}
	return broken
}

const (
	// goneAfter is the time from the start of the last machine to the loss of one, and
	// replacedAfter the time until another one is added.
	goneAfter     = 50 * time.Millisecond
	replacedAfter = time.Second
	// ackTime is how long the operator sends the first manifest.
	ackTime = 60 * time.Second
	// firstLookups are sent after the operator's calls, with lookupInterval in between.
	firstLookups   = 20
	lookupInterval = 250 * time.Millisecond
)

// playFirstStart replaces one control machine in the first second of the first start: it is
// gone for good, and an empty one comes at another address.
func playFirstStart(w *world, trouble bool) ([]string, error) {
	if _, err := w.addServer("s-1", lookupService, 30, answerAtOnce); err != nil {
		return nil, err
	}
	if err := w.start(5, 2); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(goneAfter)
		if err := w.replace(1); err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	if _, err := w.putUntilAcked(newManifest(1), ackTime, w.control...); err != nil {
		w.rec.notef("%v", err)
	}
	served := 0
	for n := range firstLookups {
		if w.lookUp(fmt.Sprint("/status/", n), keyOf("t1"), n).served() {
			served++
		}
		time.Sleep(lookupInterval)
	}
	w.rec.notef("%d of %d lookups are served", served, firstLookups)
	if served == 0 {
		return []string{"Fault: no request is served"}, nil
	}
	return nil, nil
}

// replace ends a control machine for good and adds an empty one at another address, whose
// seeds are the first three of the machines that run.
func (w *world) replace(at int) error {
	gone := w.control[at]
	gone.kill()
	w.rec.notef("%s is gone for good", gone.name)
	time.Sleep(replacedAfter)
	w.control = append(w.control[:at:at], w.control[at+1:]...)
	var seeds []string
	for _, m := range w.control[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, w.ports.control))
	}
	added := w.newMachine("core", len(w.control)+1, 20, seeds)
	added.bootstrap = false
	w.control = append(w.control, added)
	return added.start()
}
