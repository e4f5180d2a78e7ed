package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// The records of a segment are stored without gaps; a record header that consists of zeros marks their end. The fields
// of a record, with their sizes in bytes, are:
//
//	length:4 sequence:8 payloadChecksum:4 headerChecksum:4, payload, endMark:4
const (
	recordHeaderSize     = 20
	recordHeaderChecksum = recordHeaderSize - 4 // offset of the headerChecksum, which covers the header up to there
	endMarkSize          = 4
	sectorSize           = 512
)

// endMark ends each record. None of its bytes is zero, so it distinguishes a record that was written completely and
// damaged later from one whose end never reached the disk.
var endMark = []byte{0xA5, 0x5A, 0xC3, 0x3C}

// recordSize returns the size of a record with a payload of the given length, in bytes.
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
	length          uint32 // length of the payload, in bytes
	sequence        uint64
	payloadChecksum uint32
}

// decodeRecordHeader decodes a record header. It reports false if the checksum of the header is wrong.
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

// recordStatus says what the bytes at an offset of a segment are.
type recordStatus int

const (
	intact       recordStatus = iota // an intact record
	endOfRecords                     // zeros up to the end of the segment
	torn                             // a record whose write was interrupted, so it was never acknowledged
	damaged                          // a record that was written completely and has changed since
)

// readRecord reads the record at an offset of a segment. rest holds the bytes of the segment from that offset on. The
// returned record is valid only if the status is intact.
func readRecord(rest []byte, offset int64) (record, recordStatus) {
	if len(rest) < recordSize(0) || isZero(rest[:recordHeaderSize]) {
		if isZero(rest) {
			return record{}, endOfRecords
		}
		// The header reads as zeros, but bytes after it do not, so only the sectors of the header can be lost.
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

// tornOrDamaged returns why the record in the first size bytes of rest is not intact. A sector that never reached the
// disk still holds the zeros that the segment was filled with; a sector that was written and changed later does not.
func tornOrDamaged(rest []byte, offset int64, size int) recordStatus {
	if hasLostSector(rest, offset, size) {
		return torn
	}
	return damaged
}

// hasLostSector reports whether one of the sectors that hold the first size bytes of rest reads as never written: as zeros
// from its start, or from the start of rest, to its end. If its end lies after the record, the bytes there are zeros too.
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
