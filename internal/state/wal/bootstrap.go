package wal

import (
	"fmt"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// bootstrapName is the file with the record of the agreement on the first membership. It
// is a frame of its own, so that versions without it can open the folder.
const bootstrapName = "bootstrap"

// SaveBootstrap saves the record of the agreement on the first membership in place of
// the one before. It is durable when SaveBootstrap returns without an error.
func (l *Log) SaveBootstrap(r *statev1.BootstrapRecord) error {
	if l.failure != nil {
		return l.failure
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderSize), r)
	if err != nil {
		return fmt.Errorf("wal: marshal bootstrap record: %w", err)
	}
	if err := finishFrame(b, l.memberID, 0); err != nil {
		return err
	}
	name := filepath.Join(l.dir, bootstrapName)
	if err := l.writeTemp(name, b); err != nil {
		return err
	}
	return l.commitTemp(name)
}

// readBootstrap reads the record. The file was synced before it was renamed, so any
// damage is corruption.
func (l *Log) readBootstrap() (*statev1.BootstrapRecord, error) {
	name := filepath.Join(l.dir, bootstrapName)
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	payload, _, ok := parseFrame(b, l.memberID)
	if !ok || len(payload)+frameHeaderSize != len(b) {
		return nil, &CorruptError{File: name, Reason: "checksum does not match"}
	}
	r := &statev1.BootstrapRecord{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, &CorruptError{File: name, Reason: "the payload is not a bootstrap record"}
	}
	return r, nil
}
