package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is one write: magic (4 bytes), payload length (4), sequence number
// (8), CRC32C (4), payload. The checksum covers the member's identifier, the
// length, the sequence number and the payload, so that a frame of another member's
// log is invalid. Each Append writes exactly one frame and syncs it, so if a valid
// frame follows an invalid one, the invalid one had been synced before.
const (
	frameHeaderSize = 20
	maxFrameSize    = 1 << 30
)

var (
	frameMagic = []byte("rlWF")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func frameChecksum(member uint64, lengthAndSeq, payload []byte) uint32 {
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], member)
	sum := crc32.Update(0, castagnoli, id[:])
	sum = crc32.Update(sum, castagnoli, lengthAndSeq)
	return crc32.Update(sum, castagnoli, payload)
}

// finishFrame fills in the header of the frame b, whose payload starts at
// frameHeaderSize.
func finishFrame(b []byte, member, seq uint64) error {
	if len(b)-frameHeaderSize > maxFrameSize {
		return fmt.Errorf("frame of %d bytes: %w", len(b), ErrTooLarge)
	}
	copy(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-frameHeaderSize))
	binary.LittleEndian.PutUint64(b[8:], seq)
	binary.LittleEndian.PutUint32(b[16:], frameChecksum(member, b[4:16], b[frameHeaderSize:]))
	return nil
}

// parseFrame returns the payload and the sequence number of the frame at the start
// of b. ok is false if there is no valid frame.
func parseFrame(b []byte, member uint64) (payload []byte, seq uint64, ok bool) {
	if len(b) < frameHeaderSize || !bytes.Equal(b[:4], frameMagic) {
		return nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxFrameSize || uint64(n) > uint64(len(b)-frameHeaderSize) {
		return nil, 0, false
	}
	payload = b[frameHeaderSize : frameHeaderSize+int(n)]
	if binary.LittleEndian.Uint32(b[16:]) != frameChecksum(member, b[4:16], payload) {
		return nil, 0, false
	}
	return payload, binary.LittleEndian.Uint64(b[8:]), true
}

// hasLaterFrame reports whether b contains a valid frame with a sequence number
// above seq.
func hasLaterFrame(b []byte, member, seq uint64) bool {
	for {
		i := bytes.Index(b, frameMagic)
		if i < 0 {
			return false
		}
		if _, s, ok := parseFrame(b[i:], member); ok && s > seq {
			return true
		}
		b = b[i+1:]
	}
}

// appendRecordHeader appends the header of a record, which consists of kind (1
// byte), length (4) and data.
func appendRecordHeader(b []byte, kind byte, size int) []byte {
	b = append(b, kind)
	return binary.LittleEndian.AppendUint32(b, uint32(size))
}

// nextRecord splits a payload into its first record and the rest. ok is false if
// the record is incomplete.
func nextRecord(b []byte) (kind byte, data, rest []byte, ok bool) {
	if len(b) < 5 {
		return 0, nil, nil, false
	}
	n := binary.LittleEndian.Uint32(b[1:])
	if uint64(n) > uint64(len(b)-5) {
		return 0, nil, nil, false
	}
	return b[0], b[5 : 5+n], b[5+n:], true
}
