package durable

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const checksumSize = 4

// seal returns a value as it stands in the file: with a checksum of key and value behind it. bbolt has no checksums
// of its pages.
func seal(key string, value []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(value), checksum([]byte(key), value))
}

// unseal checks a value of the file and returns a copy of it without its checksum; nil stays nil.
func unseal(key, sealed []byte) ([]byte, error) {
	if sealed == nil {
		return nil, nil
	}
	size := len(sealed) - checksumSize
	if size < 0 || checksum(key, sealed[:size]) != binary.BigEndian.Uint32(sealed[size:]) {
		return nil, fmt.Errorf("%w: the value of %q has a wrong checksum", ErrDamaged, key)
	}
	return append([]byte{}, sealed[:size]...), nil
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// appendGroup appends the changes of a group in the format of a record of the log. Changes to memory buckets, whose
// numbers begin at buckets, are left out. For each change the record has: the number of the bucket as one byte, the
// length of the key, the length of the value plus one (0: the key is deleted), both as unsigned varints, the key, the
// value.
func appendGroup(record []byte, writes map[string][]byte, buckets int) []byte {
	for joined, value := range writes {
		bucket, key := splitTableKey(joined)
		if bucket >= buckets {
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

var errBadRecord = fmt.Errorf("%w: a record of the log cannot be decoded", ErrDamaged)

// decodeGroup calls set, with a tableKey, for each change in a record that appendGroup has made.
func decodeGroup(record []byte, buckets int, set func(key string, value []byte)) error {
	for len(record) > 0 {
		key, value, rest, err := decodeChange(record, buckets)
		if err != nil {
			return err
		}
		set(key, value)
		record = rest
	}
	return nil
}

// decodeChange decodes the first change of a record that is not empty, and returns what follows it.
func decodeChange(record []byte, buckets int) (key string, value, rest []byte, err error) {
	bucket := int(record[0])
	keyLength, rest, err := decodeLength(record[1:])
	if err != nil || bucket >= buckets {
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

// decodeUint64 decodes what encodeUint64 has made; 0 if it cannot be.
func decodeUint64(encoded []byte) uint64 {
	if len(encoded) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(encoded)
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
