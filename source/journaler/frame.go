package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// A frame is a header of payload length, payload checksum and header checksum, then the payload.
const (
	headerBytes   = 12
	maxFrameBytes = 256 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	errTorn    = eris.New("torn frame")
	errDamaged = eris.New("damaged frame")
)

func encodeFrame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(out[0:], uint32(len(payload)))
	binary.BigEndian.PutUint32(out[4:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(out[8:], crc32.Checksum(out[:8], castagnoli))

	return append(out, payload...)
}

// decodeFrame returns the first payload and the data after its frame. A truncated frame is torn: its write did not finish. A
// complete frame with a wrong checksum is damaged, unless all of its payload is zero: parts that did not reach the disk read as zeros.
func decodeFrame(data []byte) (payload, rest []byte, err error) {
	if len(data) < headerBytes || allZero(data) {
		return nil, nil, errTorn
	}

	if crc32.Checksum(data[:8], castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, nil, errDamaged
	}

	size := int(binary.BigEndian.Uint32(data))
	if size > maxFrameBytes {
		return nil, nil, errDamaged
	}

	body := data[headerBytes:]
	if len(body) < size {
		return nil, nil, errTorn
	}

	payload = body[:size]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		if allZero(payload) {
			return nil, nil, errTorn
		}

		return nil, nil, errDamaged
	}

	return payload, body[size:], nil
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}

	return true
}

// minZeroRunBytes is the shortest run of zeros that is taken for a part of a write that did not reach the disk.
const minZeroRunBytes = 16

// isTornTail reports whether damaged data is the remainder of an append that was interrupted by a power loss. Each append is
// synced before the next one, so that only the last frame can be incomplete, and its missing parts read as zeros. A frame
// without such zeros was damaged after it was written.
func isTornTail(data []byte) bool {
	if crc32.Checksum(data[:8], castagnoli) == binary.BigEndian.Uint32(data[8:]) {
		size := int(binary.BigEndian.Uint32(data))

		return len(data) <= headerBytes+size && hasZeroRun(data[headerBytes:])
	}

	return hasZeroRun(data) && !containsFrame(data[1:])
}

// hasZeroRun reports whether data is empty, ends in a zero or contains a run of at least minZeroRunBytes zeros.
func hasZeroRun(data []byte) bool {
	return len(data) == 0 || data[len(data)-1] == 0 || bytes.Contains(data, make([]byte, minZeroRunBytes))
}

// containsFrame reports whether an intact frame starts anywhere in the data.
func containsFrame(data []byte) bool {
	for i := 0; i+headerBytes < len(data); i++ {
		if payload, _, err := decodeFrame(data[i:]); err == nil && len(payload) > 0 {
			return true
		}
	}

	return false
}
