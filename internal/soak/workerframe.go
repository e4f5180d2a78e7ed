package soak

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"strings"
)

// Frames of the worker protocol (source: worker protocol) beside those of package fakes. They are not taken from package
// worker, so that a fault there does not cancel itself out.
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

const maxFrameSize = 1 << 20

var errBadFrame = errors.New("frame cannot be read")

// workerFrame is a command of a dispatcher.
type workerFrame struct {
	code   byte
	id     uint64
	fields map[string]string
}

// readCommand reads a frame of the dispatcher.
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
