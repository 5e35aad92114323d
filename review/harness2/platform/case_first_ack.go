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
		broken = append(broken, fmt.Sprintf("LOST: version %d was acknowledged and is gone: it does not come when it is read back", acked))
	}
	if !w.entries[0].ready() {
		broken = append(broken, "RECOVER: no entry is ready, no request can be served")
	}
	return broken
}
