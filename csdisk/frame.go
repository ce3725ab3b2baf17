package csdisk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A frame is: length of the payload (4 bytes), check of the length (4), checksum of the payload (8), payload. Both checks
// include the sequence number of the record. The length has a check of its own because a flipped bit in it would
// otherwise look like a torn tail, and the acknowledged record would be cut off.
const (
	headerSize = 16
	sectorSize = 512 // smallest unit that a disk writes as a whole, in bytes
	leastZeros = 64  // bytes
)

// frameState is the result of reading one frame.
type frameState uint8

const (
	frameValid   frameState = iota
	frameTorn               // not completely written
	frameCorrupt            // written completely and changed later
)

func appendFrame(b []byte, sequence uint64, payload []byte) []byte {
	return append(appendHeader(b, sequence, payload), payload...)
}

// appendHeader appends the header of a frame whose payload consists of the given parts.
func appendHeader(b []byte, sequence uint64, parts ...[]byte) []byte {
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(n))
	b = binary.LittleEndian.AppendUint32(b, lengthCheck(sequence, uint32(n)))
	return binary.LittleEndian.AppendUint64(b, checksum(sequence, parts...))
}

func lengthCheck(sequence uint64, n uint32) uint32 {
	b := binary.LittleEndian.AppendUint64(nil, sequence)
	b = binary.LittleEndian.AppendUint32(b, n)
	// The complement, so that a header of zeros is not valid by chance of the hash of a zero length.
	return ^uint32(xxhash.Sum64(b))
}

func checksum(sequence uint64, parts ...[]byte) uint64 {
	h := xxhash.NewWithSeed(sequence)
	for _, p := range parts {
		_, _ = h.Write(p) // never fails
	}
	return h.Sum64()
}

// readFrame reads the frame at the offset and returns its payload and the offset of the next one.
func readFrame(data []byte, at int, sequence uint64) (payload []byte, next int, s frameState) {
	if len(data)-at < headerSize {
		return nil, at, frameTorn
	}
	head := data[at:]
	n := binary.LittleEndian.Uint32(head)
	if lengthCheck(sequence, n) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, at, invalidFrame(data, at, at+headerSize)
	}
	end := at + headerSize + int(n)
	if end > len(data) {
		return nil, at, frameTorn
	}
	payload = data[at+headerSize : end]
	if checksum(sequence, payload) != binary.LittleEndian.Uint64(head[8:]) {
		return nil, at, invalidFrame(data, at, end)
	}
	return payload, end, frameValid
}

// invalidFrame tells a frame that was never completely written, of which a sector is still zero, from one that was changed
// later. Short runs of zeros also occur in payloads and do not count, unless they cover the header.
func invalidFrame(data []byte, from, to int) frameState {
	for sector := from / sectorSize * sectorSize; sector < to; sector += sectorSize {
		part := data[max(sector, from):min(sector+sectorSize, len(data))]
		header := sector <= from && len(part) >= headerSize
		if allZero(part) && (header || len(part) >= leastZeros) {
			return frameTorn
		}
	}
	return frameCorrupt
}

func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}
