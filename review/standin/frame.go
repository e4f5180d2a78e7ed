package standin

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"strings"
)

// Marks and codes of the frames between dispatchers and workers (source: protocol page).
const (
	markCommand = 192
	markAnswer  = 193

	codeCall   = 48
	codeCancel = 49
	codeProbe  = 50
	codeLoad   = 52
	codeUnload = 54

	codeOK     = 64
	codeMiss   = 66
	codeFailed = 68
	codePong   = 70
)

const (
	frameHeaderSize = 16
	frameCheckSize  = 4
)

// frame is one frame, in either direction.
type frame struct {
	code   byte
	id     uint64
	fields map[string]string
	body   []byte
}

var errBadFrame = errors.New("frame cannot be read")

// readCommand reads a frame from a dispatcher.
func readCommand(r io.Reader) (frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	if header[0] != markCommand {
		return frame{}, errBadFrame
	}
	fieldsSize := int(binary.BigEndian.Uint16(header[2:]))
	bodySize := int(binary.BigEndian.Uint32(header[4:]))
	payload := make([]byte, fieldsSize+bodySize+frameCheckSize)
	if _, err := io.ReadFull(r, payload); err != nil {
		return frame{}, err
	}
	content, check := payload[:fieldsSize+bodySize], payload[fieldsSize+bodySize:]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(check) {
		return frame{}, errBadFrame
	}
	f := frame{code: header[1], id: binary.BigEndian.Uint64(header[8:]), fields: map[string]string{}, body: content[fieldsSize:]}
	for _, field := range strings.Split(string(content[:fieldsSize]), ",") {
		if name, value, ok := strings.Cut(field, "="); ok {
			f.fields[name] = value
		}
	}
	return f, nil
}

// encodeAnswer returns an answer frame.
func encodeAnswer(code byte, id uint64, fields string, body []byte) []byte {
	data := []byte{markAnswer, code}
	data = binary.BigEndian.AppendUint16(data, uint16(len(fields)))
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint64(data, id)
	data = append(data, fields...)
	data = append(data, body...)
	return binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data[frameHeaderSize:]))
}
