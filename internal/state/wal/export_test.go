package wal

// BreakSync returns options of a log that acknowledges without a sync.
func BreakSync(o Options) Options {
	o.faults.noSync = true
	return o
}

// BreakUndo returns options of a log that leaves partial frames after a full
// disk.
func BreakUndo(o Options) Options {
	o.faults.keepPartial = true
	return o
}
