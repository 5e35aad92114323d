package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is one write: magic (4 bytes), payload length (4), sequence number
// (8), CRC32C (4), payload. The checksum covers length, sequence number and
// payload and starts from the member's identifier, so that a frame of another
// log is not valid here. All that one Append writes is one frame: if a valid
// frame follows a damaged one, the damaged one had been synced before.
const (
	frameHeader  = 20
	maxFrameSize = 1 << 30
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

// finishFrame fills in the header of a frame whose payload starts at
// frameHeader of b.
func finishFrame(b []byte, member, seq uint64) error {
	if len(b)-frameHeader > maxFrameSize {
		return fmt.Errorf("%d bytes: %w", len(b), ErrTooLarge)
	}
	copy(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-frameHeader))
	binary.LittleEndian.PutUint64(b[8:], seq)
	binary.LittleEndian.PutUint32(b[16:], frameChecksum(member, b[4:16], b[frameHeader:]))
	return nil
}

// parseFrame returns the payload of a valid frame at the start of b.
func parseFrame(b []byte, member uint64) (payload []byte, seq uint64, ok bool) {
	if len(b) < frameHeader || !bytes.Equal(b[:4], frameMagic) {
		return nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxFrameSize || uint64(n) > uint64(len(b)-frameHeader) {
		return nil, 0, false
	}
	payload = b[frameHeader : frameHeader+int(n)]
	if binary.LittleEndian.Uint32(b[16:]) != frameChecksum(member, b[4:16], payload) {
		return nil, 0, false
	}
	return payload, binary.LittleEndian.Uint64(b[8:]), true
}

// hasLaterFrame reports whether any valid frame after seq starts in b.
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

// recordHeader starts one record of a payload: kind (1 byte), length (4), data.
func recordHeader(b []byte, kind byte, size int) []byte {
	b = append(b, kind)
	return binary.LittleEndian.AppendUint32(b, uint32(size))
}

// nextRecord splits the first record off a payload.
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
