package soak

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"strings"
)

// Sizes and codes of frames of the worker protocol that package fakes does not define (source: worker protocol). They are not
// taken from package worker: with definitions shared by both ends, a mistake in them would go unnoticed.
const (
	headerSize   = 16
	checksumSize = 4

	codeCall   = 48
	codeCancel = 49
	codePing   = 50
	codeLoad   = 52
	codeUnload = 54
	codeError  = 68
	codePong   = 70
)

// maxFrameSize is the largest length of a body, in bytes, that readFrame accepts.
const maxFrameSize = 1 << 20

// errBadFrame is returned for a frame with too long a body or a wrong checksum.
var errBadFrame = errors.New("frame cannot be read")

// commandFrame is a frame that a dispatcher has sent to a worker, without its body.
type commandFrame struct {
	code   byte
	id     uint64
	fields map[string]string
}

// readFrame reads a frame from a dispatcher and checks its length and checksum.
func readFrame(conn net.Conn) (commandFrame, error) {
	header := make([]byte, headerSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return commandFrame{}, err
	}
	fieldsLength := int(binary.BigEndian.Uint16(header[2:]))
	bodyLength := int(binary.BigEndian.Uint32(header[4:]))
	if bodyLength > maxFrameSize {
		return commandFrame{}, errBadFrame
	}
	payload := make([]byte, fieldsLength+bodyLength+checksumSize)
	if _, err := io.ReadFull(conn, payload); err != nil {
		return commandFrame{}, err
	}
	content := payload[:fieldsLength+bodyLength]
	if binary.BigEndian.Uint32(payload[len(content):]) != crc32.ChecksumIEEE(content) {
		return commandFrame{}, errBadFrame
	}
	f := commandFrame{code: header[1], id: binary.BigEndian.Uint64(header[8:]), fields: map[string]string{}}
	for pair := range strings.SplitSeq(string(payload[:fieldsLength]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		f.fields[name] = value
	}
	return f, nil
}
