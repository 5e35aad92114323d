package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration ends a case that hangs before the time that a script may take.
const maxDuration = 115 * time.Second

// errNotRun is wrapped by errors that say nothing about the rule.
var errNotRun = errors.New("the case could not run")

// playFunc plays a case, with the trouble or without, and returns what broke the rule.
type playFunc func(w *world, trouble bool) (broken []string, err error)

func cases() map[string]playFunc {
	return map[string]playFunc{
		"first-ack":     playFirstAck,
		"take-up":       playTakeUp,
		"foreign-entry": playForeignEntry,
		"in-place":      playInPlace,
		"leaving":       playLeaving,
		"roll":          playRoll,
	}
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/radishloomd", "the program under test")
	output := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, known := cases()[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	rec, err := newRecord(*output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, *daemon)
	if err != nil {
		rec.notef("%v", err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.notef("case %s, trouble %t", *name, trouble)
	return verdict(rec, w, play, trouble)
}

type outcome struct {
	broken []string
	err    error
}

func verdict(rec *record, w *world, play playFunc, trouble bool) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- outcome{broken, err}
	}()
	var out outcome
	select {
	case out = <-done:
	case s := <-signals:
		out.err = fmt.Errorf("%w: signal %v", errNotRun, s)
	case <-time.After(maxDuration):
		out.err = fmt.Errorf("%w: it did not end in time", errNotRun)
	}
	switch {
	case out.err != nil:
		rec.notef("not run: %v", out.err)
		return exitNotRun
	case len(out.broken) > 0:
		for _, b := range out.broken {
			rec.notef("BROKEN: %s", b)
		}
		return exitBroken
	}
	rec.notef("the rule held")
	return exitHeld
}
