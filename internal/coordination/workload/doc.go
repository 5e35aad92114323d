// Package workload predicts how many output tokens requests generate. It has no I/O
// and no clock. Its types are not safe for concurrent use.
package workload
