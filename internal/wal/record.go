package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Records follow one another in a segment; a header of zeros ends them. A record is:
//
//	length:4 sequence:8 payloadChecksum:4 headerChecksum:4, payload, endMark:4
const (
	recordHeaderSize     = 20
	recordHeaderChecksum = recordHeaderSize - 4 // offset; it covers all before it
	endMarkSize          = 4
	sectorSize           = 512
)

// endMark ends each record. It has no zero byte, so it tells a record that was written completely and damaged later
// from one whose end never reached the disk.
var endMark = []byte{0xA5, 0x5A, 0xC3, 0x3C}

// recordSize is the size in a segment of a record with a payload of this length.
func recordSize(payloadLength int) int { return recordHeaderSize + payloadLength + endMarkSize }

func appendRecord(segment []byte, sequence uint64, payload []byte) []byte {
	start := len(segment)
	segment = binary.BigEndian.AppendUint32(segment, uint32(len(payload)))
	segment = binary.BigEndian.AppendUint64(segment, sequence)
	segment = binary.BigEndian.AppendUint32(segment, crc32.Checksum(payload, castagnoli))
	segment = binary.BigEndian.AppendUint32(segment, crc32.Checksum(segment[start:], castagnoli))
	segment = append(segment, payload...)
	return append(segment, endMark...)
}

type recordHeader struct {
	length          uint32 // of the payload
	sequence        uint64
	payloadChecksum uint32
}

// decodeRecordHeader reports false if the header is not intact.
func decodeRecordHeader(encoded []byte) (h recordHeader, ok bool) {
	checksum := binary.BigEndian.Uint32(encoded[recordHeaderChecksum:])
	if crc32.Checksum(encoded[:recordHeaderChecksum], castagnoli) != checksum {
		return recordHeader{}, false
	}
	return recordHeader{
		length:          binary.BigEndian.Uint32(encoded),
		sequence:        binary.BigEndian.Uint64(encoded[4:]),
		payloadChecksum: binary.BigEndian.Uint32(encoded[12:]),
	}, true
}

type record struct {
	sequence uint64
	payload  []byte
}

// recordStatus is what the bytes at an offset turn out to be.
type recordStatus int

const (
	intact       recordStatus = iota // a record
	endOfRecords                     // zeros to the end of the segment
	torn                             // a record whose write did not end, so it was never acknowledged
	damaged                          // a record that was intact and is not any more
)

// readRecord reads the record at an offset of a segment; rest are the bytes from there to the end of the segment. The
// record is valid only if it is intact.
func readRecord(rest []byte, offset int64) (record, recordStatus) {
	if len(rest) < recordSize(0) || isZero(rest[:recordHeaderSize]) {
		if isZero(rest) {
			return record{}, endOfRecords
		}
		// Something was written behind a header that reads as zeros: only the header may be lost.
		return record{}, tornOrDamaged(rest, offset, min(len(rest), recordHeaderSize))
	}
	header, ok := decodeRecordHeader(rest)
	if !ok {
		return record{}, tornOrDamaged(rest, offset, recordHeaderSize)
	}
	length := int(header.length)
	if length == 0 || length > len(rest)-recordSize(0) {
		return record{}, damaged
	}
	payloadEnd := recordHeaderSize + length
	size := recordSize(length)
	payload := rest[recordHeaderSize:payloadEnd]
	payloadIntact := crc32.Checksum(payload, castagnoli) == header.payloadChecksum
	if !payloadIntact || !bytes.Equal(rest[payloadEnd:size], endMark) {
		return record{}, tornOrDamaged(rest, offset, size)
	}
	return record{sequence: header.sequence, payload: payload}, intact
}

// tornOrDamaged tells why the record in the first size bytes of rest is not intact. A sector that never reached the
// disk still reads as the zeros that the segment was filled with; bytes that were changed later do not.
func tornOrDamaged(rest []byte, offset int64, size int) recordStatus {
	if hasLostSector(rest, offset, size) {
		return torn
	}
	return damaged
}

// hasLostSector reports whether a sector that the first size bytes of rest touch reads as zeros, from the start of the
// sector or of rest to the end of the sector. What was never written leaves zeros behind the record as well.
func hasLostSector(rest []byte, offset int64, size int) bool {
	for from := 0; from < size; {
		inSector := int((offset + int64(from)) % sectorSize)
		to := min(len(rest), from+sectorSize-inSector)
		if isZero(rest[from:to]) {
			return true
		}
		from = to
	}
	return false
}

func isZero(p []byte) bool { return len(bytes.TrimLeft(p, "\x00")) == 0 }
