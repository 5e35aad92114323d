package wal

// WithoutSync returns options of a log that acknowledges writes without a sync.
func WithoutSync(o Options) Options {
	o.faults.noSync = true
	return o
}

// WithPartialFrames returns options of a log that leaves partial frames when the
// disk is full.
func WithPartialFrames(o Options) Options {
	o.faults.keepPartial = true
	return o
}
