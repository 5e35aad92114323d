// Package soak runs the real programs as separate processes on loopback
// addresses, injects faults from outside and checks the guarantees of
// docs/design.md from what callers, operators and endpoints observe.
//
// Each VM has its own loopback address. Callers reach the entries, and entries the
// endpoints, through proxies that delay, reset, stall and refuse connections; half of
// the callers connect to the entries themselves. They keep their connections until these
// end and read whatever arrives as the response to what they have just sent. Processes
// are killed, paused, stopped and restarted by signals, in series that overlap; a control
// VM may lose its data directory. Endpoints refuse, answer early, cut heads and bodies,
// repeat answers, send heads that are no HTTP responses, cut answers while the request is
// being sent, restart on their address, and change their identifier on their open
// connections (standin.Faults). Callers repeat the identifier of a refused request, at one
// entry and at others, or send it twice at a time; each request of theirs is judged by its
// own answer and its own runs, which a number in the query tells apart. The operator evacuates
// and restores a data centre again and again. Links between daemons are disturbed only
// by pausing processes, since daemons know each other by address. All choices come from
// a seed, but timing is that of the machine: a seed repeats the sequence of faults, not
// each interleaving.
//
// Streams have a play of their own, TestStreamsAreNotJoinedAcrossVersions: callers take
// them up at any entry while engines are replaced by those of other software versions,
// entries and control VMs are lost, the leader before an entry too, streams are cut off, and
// an operator splits, moves and adds the routes of streams. In
// TestStreamsAtAnEntryThatStoodStillDuringARelease one entry is frozen meanwhile.
// TestStreamsOfALostEntryGoOn counts what goes on after the loss of one entry, for each
// change of the routes, with one or two versions, and with or without the loss of the leader.
// The seeds of the control VMs stand in another order at each VM.
//
// In TestAnswersCutEarlyAreNotWhole callers send long requests, some of them with HTTP/1.0.
//
// go test ./soak runs one short fixed seed and the regression seeds. make soak runs many
// (SOAK_SEEDS, SOAK_FIRST, SOAK_SECONDS) of these plays; each tenth seed of TestSoak has a
// large fleet.
package soak
