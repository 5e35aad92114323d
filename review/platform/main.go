package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	// reason says what was counted and which bound applies.
	reason string
}

// cases maps the name of a case to the function that plays it.
var cases = map[string]func(*world) (verdict, error){
	"resumable-lookup": playResumableLookup,
	"first-start":      playFirstStart,
	"foreign-entry":    playForeignEntry,
	"large-bodies":     playLargeBodies,
	"retired-model":    playRetiredModel,
	"slow-server":      playSlowServer,
	"slow-log-reader":  playSlowLogReader,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE")
		return exitFailed
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	v, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("the case could not be played: %v", err)
		return exitFailed
	case v.broken:
		w.note("BROKEN: %s", v.reason)
		return exitBroken
	}
	w.note("HELD: %s", v.reason)
	return exitHeld
}
