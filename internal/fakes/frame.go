package fakes

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"
	"strings"
)

// A frame of the worker protocol consists of a header, the fields, the body and a CRC-32 of fields and body. The header
// holds the mark (1 byte), the code (1 byte), the length of the fields (2 bytes), the length of the body (4 bytes) and the
// ID (8 bytes). All numbers are big-endian. This file does not use the codec of package worker: with one codec on both
// sides, tests would not notice an error in it.
const (
	headerSize   = 16
	checksumSize = 4

	fieldsSizeOffset = 2
	bodySizeOffset   = 4
	idOffset         = 8

	answerMark = 193
)

// Codes of the commands that the dispatcher sends and Worker handles.
const (
	codeCall   = 48
	codeCancel = 49
	codeLoad   = 52
)

// Codes of the answers that workers send.
const (
	CodeOK       = 64 // the call was served, or the load order was carried out
	CodeMiss     = 66 // the function is not loaded
	CodeRejected = 67 // the worker rejected the call
)

// Names of the fields that Worker reads or writes.
const (
	fieldFunction = "thing"
	fieldCopies   = "n"
)

// Frame returns an encoded answer frame.
func Frame(code byte, id uint64, fields, body string) []byte {
	encoded := []byte{answerMark, code}
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(fields)))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(body)))
	encoded = binary.BigEndian.AppendUint64(encoded, id)
	encoded = append(encoded, fields...)
	encoded = append(encoded, body...)
	return binary.BigEndian.AppendUint32(encoded, crc32.ChecksumIEEE(encoded[headerSize:]))
}

// readFrame reads one frame from the dispatcher. It returns the frame's code, and its ID, fields and body as a Call, also
// if the frame is not a call. It checks neither the mark nor the checksum.
func readFrame(conn net.Conn) (code byte, call *Call, err error) {
	header := make([]byte, headerSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return 0, nil, err
	}
	fieldsSize := int(binary.BigEndian.Uint16(header[fieldsSizeOffset:]))
	bodySize := int(binary.BigEndian.Uint32(header[bodySizeOffset:]))
	payload := make([]byte, fieldsSize+bodySize+checksumSize)
	if _, err := io.ReadFull(conn, payload); err != nil {
		return 0, nil, err
	}
	call = &Call{
		ID:     binary.BigEndian.Uint64(header[idOffset:]),
		Fields: string(payload[:fieldsSize]),
		Body:   string(payload[fieldsSize : fieldsSize+bodySize]),
		conn:   conn,
	}
	return header[1], call, nil
}

// field returns the value of the named field, or "" if the frame has no such field.
func (c *Call) field(name string) string {
	for pair := range strings.SplitSeq(c.Fields, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}
