package fakes

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"
	"strings"
)

// A frame of the worker protocol is a head, the fields, the body and a CRC-32 of fields and body. The head has the mark,
// the code, the length of the fields (2 bytes), that of the body (4 bytes) and the id (8 bytes), in big endian. What
// follows is written anew rather than taken from package worker, so that a fault there does not cancel itself out.
const (
	headSize     = 16
	checksumSize = 4

	fieldsLengthOffset = 2
	bodyLengthOffset   = 4
	idOffset           = 8

	answerMark = 193
)

// Codes of the frames that the dispatcher sends.
const (
	codeCall   = 48
	codeCancel = 49
	codeLoad   = 52
)

// Codes of answers.
const (
	CodeOK   = 64 // served, or loaded
	CodeMiss = 66 // the function is not loaded
	CodeFull = 67 // rejected
)

// Names of fields.
const (
	fieldFunction = "thing"
	fieldCopies   = "n"
)

// Frame encodes an answer.
func Frame(code byte, id uint64, fields, body string) []byte {
	encoded := []byte{answerMark, code}
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(fields)))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(body)))
	encoded = binary.BigEndian.AppendUint64(encoded, id)
	encoded = append(encoded, fields...)
	encoded = append(encoded, body...)
	return binary.BigEndian.AppendUint32(encoded, crc32.ChecksumIEEE(encoded[headSize:]))
}

// readFrame reads one frame of the dispatcher and returns its code and, whichever the code, the rest as a Call. It
// checks neither mark nor checksum.
func readFrame(conn net.Conn) (code byte, received *Call, err error) {
	head := make([]byte, headSize)
	if _, err := io.ReadFull(conn, head); err != nil {
		return 0, nil, err
	}
	fieldsLength := int(binary.BigEndian.Uint16(head[fieldsLengthOffset:]))
	bodyLength := int(binary.BigEndian.Uint32(head[bodyLengthOffset:]))
	rest := make([]byte, fieldsLength+bodyLength+checksumSize)
	if _, err := io.ReadFull(conn, rest); err != nil {
		return 0, nil, err
	}
	received = &Call{
		ID:     binary.BigEndian.Uint64(head[idOffset:]),
		Fields: string(rest[:fieldsLength]),
		Body:   string(rest[fieldsLength : fieldsLength+bodyLength]),
		conn:   conn,
	}
	return head[1], received, nil
}

// field returns the value of a field, or "" where the frame has none of that name.
func (c *Call) field(name string) string {
	for pair := range strings.SplitSeq(c.Fields, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}
