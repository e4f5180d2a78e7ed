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
// taken from package worker: with a shared definition, a mistake there would go unnoticed.
const (
	headSize     = 16
	checksumSize = 4

	codeCall   = 48
	codeCancel = 49
	codePing   = 50
	codeLoad   = 52
	codeUnload = 54
	codeError  = 68
	codePong   = 70
)

// maxFrameSize is the largest length of a body, in bytes, that readCommand accepts.
const maxFrameSize = 1 << 20

// errBadFrame is returned for a frame with too long a body or a wrong checksum.
var errBadFrame = errors.New("frame cannot be read")

// workerFrame is a frame that a dispatcher has sent to a worker, without its body.
type workerFrame struct {
	code   byte
	id     uint64
	fields map[string]string
}

// readCommand reads a frame from a dispatcher and checks its length and checksum.
func readCommand(conn net.Conn) (workerFrame, error) {
	head := make([]byte, headSize)
	if _, err := io.ReadFull(conn, head); err != nil {
		return workerFrame{}, err
	}
	fieldsLength := int(binary.BigEndian.Uint16(head[2:]))
	bodyLength := int(binary.BigEndian.Uint32(head[4:]))
	if bodyLength > maxFrameSize {
		return workerFrame{}, errBadFrame
	}
	rest := make([]byte, fieldsLength+bodyLength+checksumSize)
	if _, err := io.ReadFull(conn, rest); err != nil {
		return workerFrame{}, err
	}
	content := rest[:fieldsLength+bodyLength]
	if binary.BigEndian.Uint32(rest[len(content):]) != crc32.ChecksumIEEE(content) {
		return workerFrame{}, errBadFrame
	}
	f := workerFrame{code: head[1], id: binary.BigEndian.Uint64(head[8:]), fields: map[string]string{}}
	for pair := range strings.SplitSeq(string(rest[:fieldsLength]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		f.fields[name] = value
	}
	return f, nil
}
