package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// A segment is a file of a fixed size that is filled with zeros before its first use. It consists of a header, then
// records. All numbers are big-endian, all checksums CRC-32C. The fields of the header, with their sizes in bytes, are:
//
//	magic:8 version:2 zero:2 size:4 firstSequence:8 previousFirst:8 previousEnd:4 checksum:4
const (
	headerSize     = 40
	headerChecksum = headerSize - 4 // offset of the checksum, which covers the header up to there
	formatVersion  = 2              // in version 1, the store was only a bbolt file, without a log
)

var magic = []byte("kitefall")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type segmentHeader struct {
	size          uint32 // size of the segment, in bytes
	firstSequence uint64 // sequence of the first record
	previousFirst uint64 // firstSequence of the previous segment; 0: there is none
	previousEnd   uint32 // offset at which the records of the previous segment end; bytes after it were never acknowledged
}

func (h segmentHeader) encode() []byte {
	encoded := bytes.Clone(magic)
	encoded = binary.BigEndian.AppendUint16(encoded, formatVersion)
	encoded = binary.BigEndian.AppendUint16(encoded, 0)
	encoded = binary.BigEndian.AppendUint32(encoded, h.size)
	encoded = binary.BigEndian.AppendUint64(encoded, h.firstSequence)
	encoded = binary.BigEndian.AppendUint64(encoded, h.previousFirst)
	encoded = binary.BigEndian.AppendUint32(encoded, h.previousEnd)
	return binary.BigEndian.AppendUint32(encoded, crc32.Checksum(encoded, castagnoli))
}

// decodeHeader decodes the header at the start of a segment. It reports false if the header is missing or damaged.
func decodeHeader(content []byte) (h segmentHeader, version uint16, ok bool) {
	if len(content) < headerSize || !bytes.HasPrefix(content, magic) {
		return segmentHeader{}, 0, false
	}
	version = binary.BigEndian.Uint16(content[8:])
	h = segmentHeader{
		size:          binary.BigEndian.Uint32(content[12:]),
		firstSequence: binary.BigEndian.Uint64(content[16:]),
		previousFirst: binary.BigEndian.Uint64(content[24:]),
		previousEnd:   binary.BigEndian.Uint32(content[32:]),
	}
	checksum := binary.BigEndian.Uint32(content[headerChecksum:])
	return h, version, crc32.Checksum(content[:headerChecksum], castagnoli) == checksum
}

const segmentSuffix = ".log"

func segmentPath(dir string, firstSequence uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", firstSequence, segmentSuffix))
}

// Segments returns the sequence of the first record of each segment in dir, in ascending order, and none if dir does not
// exist. It returns an error that wraps ErrDamaged if a file has the suffix of a segment but not the name of one.
func Segments(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var firstSequences []uint64
	for _, entry := range entries {
		name, ok := strings.CutSuffix(entry.Name(), segmentSuffix)
		if !ok {
			continue
		}
		firstSequence, parseErr := strconv.ParseUint(name, 16, 64)
		if parseErr != nil {
			return nil, fmt.Errorf("%w: %s is not a valid segment name", ErrDamaged, entry.Name())
		}
		firstSequences = append(firstSequences, firstSequence)
	}
	slices.Sort(firstSequences)
	return firstSequences, err
}

// segment is a segment that was read into memory.
type segment struct {
	path    string
	header  segmentHeader
	content []byte
}

// readSegment reads a segment and checks its header and size, but not its records.
func readSegment(dir string, firstSequence uint64) (segment, error) {
	path := segmentPath(dir, firstSequence)
	content, err := os.ReadFile(path)
	if err != nil {
		return segment{}, err
	}
	header, version, ok := decodeHeader(content)
	switch {
	case ok && version != formatVersion:
		return segment{}, fmt.Errorf("%w: %s has version %d, this program reads %d", ErrVersion, path, version, formatVersion)
	case !ok || header.firstSequence != firstSequence:
		return segment{}, fmt.Errorf("%w: %s has no valid header", ErrDamaged, path)
	case int(header.size) != len(content): // the size of a segment never changes
		return segment{}, fmt.Errorf("%w: %s has %d bytes but was created with %d", ErrDamaged, path, len(content), header.size)
	}
	return segment{path: path, header: header, content: content}, nil
}
