package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A segment is a file of a fixed size that was filled with zeros before its first use:
//
//	segment = magic:8 version:2 zero:2 size:4 first:8 previous:8 previous_end:4 check:4, then records
//	record  = length:4 sequence:8 check of the payload:4 check of these 16 bytes:4, payload, mark:4
//
// All numbers are big-endian, all checks CRC-32C. Records follow one another; a length of 0 ends them.
const (
	headSize   = 40
	recordHead = 20
	recordTail = 4
	version    = 2 // 1 was the file of bbolt alone
	sector     = 512
)

// endMark ends each record. It is never zero, so it tells a record that was written whole and spoilt later
// from one whose end never reached the disk.
var endMark = []byte{0xA5, 0x5A, 0xC3, 0x3C}

var magic = []byte("kitefall")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type head struct {
	size     uint32
	first    uint64 // sequence of the first record
	previous uint64 // first sequence of the segment before; 0: none
	end      uint32 // where the records of that one end; whatever stands after it was never acknowledged
}

func (h head) encode() []byte {
	out := append([]byte(nil), magic...)
	out = binary.BigEndian.AppendUint16(out, version)
	out = binary.BigEndian.AppendUint16(out, 0)
	out = binary.BigEndian.AppendUint32(out, h.size)
	out = binary.BigEndian.AppendUint64(out, h.first)
	out = binary.BigEndian.AppendUint64(out, h.previous)
	out = binary.BigEndian.AppendUint32(out, h.end)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

func decodeHead(p []byte) (h head, v uint16, ok bool) {
	if len(p) < headSize || !bytes.Equal(p[:8], magic) {
		return h, 0, false
	}
	h = head{size: binary.BigEndian.Uint32(p[12:]), first: binary.BigEndian.Uint64(p[16:]),
		previous: binary.BigEndian.Uint64(p[24:]), end: binary.BigEndian.Uint32(p[32:])}
	v = binary.BigEndian.Uint16(p[8:])
	return h, v, crc32.Checksum(p[:headSize-4], castagnoli) == binary.BigEndian.Uint32(p[headSize-4:])
}

func appendRecord(out []byte, sequence uint64, payload []byte) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.BigEndian.AppendUint64(out, sequence)
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(out[start:], castagnoli))
	return append(append(out, payload...), endMark...)
}

// verdict is what the bytes at a place turn out to be.
type verdict int

const (
	whole  verdict = iota // a record
	none                  // zeros: the records end here
	torn                  // a record whose write never came to its end, so it was never acknowledged
	spoilt                // a record that was whole and is not any more
)

// readRecord reads the record at the start of p, which reaches to the end of the segment; at is its place in the
// file. A sector that never reached the disk still reads as the zeros that the file was filled with; bytes that
// were changed later do not look like that. This is the whole difference between torn and spoilt.
func readRecord(p []byte, at int64) (payload []byte, sequence uint64, v verdict) {
	if len(p) < recordHead+recordTail || zero(p[:recordHead]) {
		// Past the last record nothing was ever written. Something here means that its head was lost alone.
		if rest := p; len(rest) > 0 && !zero(rest) {
			if lostSector(rest, at, min(len(rest), recordHead)) {
				return nil, 0, torn
			}
			return nil, 0, spoilt
		}
		return nil, 0, none
	}
	if crc32.Checksum(p[:recordHead-4], castagnoli) != binary.BigEndian.Uint32(p[recordHead-4:]) {
		if lostSector(p, at, recordHead) {
			return nil, 0, torn
		}
		return nil, 0, spoilt
	}
	size := int(binary.BigEndian.Uint32(p))
	sequence = binary.BigEndian.Uint64(p[4:])
	if size == 0 || size > len(p)-recordHead-recordTail {
		return nil, sequence, spoilt
	}
	payload = p[recordHead : recordHead+size]
	all := p[:recordHead+size+recordTail]
	good := crc32.Checksum(payload, castagnoli) == binary.BigEndian.Uint32(p[12:])
	switch {
	case good && bytes.Equal(all[len(all)-recordTail:], endMark):
		return payload, sequence, whole
	case lostSector(p, at, len(all)):
		return nil, sequence, torn
	default:
		return nil, sequence, spoilt
	}
}

// lostSector tells whether a sector that the first n bytes of p touch reads as zeros, from its start or from the
// start of p on. The rest of the sector counts too: what was never written leaves zeros there as well.
func lostSector(p []byte, at int64, n int) bool {
	for from := 0; from < n; {
		to := min(len(p), from+sector-int((at+int64(from))%sector))
		if zero(p[from:to]) {
			return true
		}
		from = to
	}
	return false
}

func zero(p []byte) bool { return len(bytes.TrimLeft(p, "\x00")) == 0 }
