package journaler

import (
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

// decodeFrame returns the first payload and what follows it. A frame that was cut short is torn: the write never
// finished. A whole frame with a wrong checksum is damaged.
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
