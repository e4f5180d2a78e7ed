package durable

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const checksumSize = 4

// addChecksum returns a value as it is stored in the file: followed by a checksum of the key and the value. bbolt has no
// checksums of its data pages.
func addChecksum(key string, value []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(value), checksum([]byte(key), value))
}

// verifyChecksum verifies the checksum of a value as stored in the file, and returns a copy of the value without the
// checksum. It returns nil if stored is nil.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if stored == nil {
		return nil, nil
	}
	size := len(stored) - checksumSize
	if size < 0 || checksum(key, stored[:size]) != binary.BigEndian.Uint32(stored[size:]) {
		return nil, fmt.Errorf("%w: the value of %q has a wrong checksum", ErrDamaged, key)
	}
	return append([]byte{}, stored[:size]...), nil
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// appendGroup appends the changes of a group to a log record. It leaves out changes to memory buckets, whose numbers
// begin at bucketCount. Each change consists of the number of the bucket as one byte, the length of the key, the length
// of the value plus one (0: the key is deleted), both lengths as unsigned varints, the key, and the value.
func appendGroup(record []byte, writes map[string][]byte, bucketCount int) []byte {
	for entryKey, value := range writes {
		bucket, key := splitTableKey(entryKey)
		if bucket >= bucketCount {
			continue
		}
		record = append(record, byte(bucket))
		record = binary.AppendUvarint(record, uint64(len(key)))
		record = binary.AppendUvarint(record, encodedValueLength(value))
		record = append(record, key...)
		record = append(record, value...)
	}
	return record
}

func encodedValueLength(value []byte) uint64 {
	if value == nil {
		return 0
	}
	return uint64(len(value)) + 1
}

var errBadRecord = fmt.Errorf("%w: a log record cannot be decoded", ErrDamaged)

// decodeGroup decodes a record that appendGroup has encoded. It calls set for each change, with the tableKey and the value
// (nil: the key is deleted).
func decodeGroup(record []byte, bucketCount int, set func(key string, value []byte)) error {
	for len(record) > 0 {
		key, value, rest, err := decodeChange(record, bucketCount)
		if err != nil {
			return err
		}
		set(key, value)
		record = rest
	}
	return nil
}

// decodeChange decodes the first change of a record that is not empty. rest is the part of the record after that change.
func decodeChange(record []byte, bucketCount int) (key string, value, rest []byte, err error) {
	bucket := int(record[0])
	keyLength, rest, err := decodeLength(record[1:])
	if err != nil || bucket >= bucketCount {
		return "", nil, nil, errBadRecord
	}
	encodedLength, rest, err := decodeLength(rest)
	if err != nil {
		return "", nil, nil, err
	}
	deleted := encodedLength == 0
	valueLength := uint64(0)
	if !deleted {
		valueLength = encodedLength - 1
	}
	if keyLength > uint64(len(rest)) || valueLength > uint64(len(rest))-keyLength {
		return "", nil, nil, errBadRecord
	}
	key = tableKey(bucket, rest[:keyLength])
	rest = rest[keyLength:]
	if !deleted {
		value = append([]byte{}, rest[:valueLength]...)
	}
	return key, value, rest[valueLength:], nil
}

func decodeLength(record []byte) (length uint64, rest []byte, err error) {
	length, size := binary.Uvarint(record)
	if size <= 0 {
		return 0, nil, errBadRecord
	}
	return length, record[size:], nil
}

// decodeUint64 decodes a number that encodeUint64 has encoded. It returns 0 if encoded does not have 8 bytes.
func decodeUint64(encoded []byte) uint64 {
	if len(encoded) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(encoded)
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
