// Package worker speaks with the workers: frames, connections, calls and orders to load.
package worker

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
)

// The marks and codes of frames.
const (
	markCommand, markAnswer = 192, 193

	codeCall, codeGiveUp, codeLoad, codeDrop                        = 48, 49, 52, 54
	codeOK, codeMiss, codeFull, codeError, codeOver, codeConnection = 64, 66, 67, 68, 69, 70

	headSize   = 16
	mostAnswer = 1 << 20 // bytes of an answer's body
)

var errFrame = errors.New("bad frame")

type frame struct {
	mark, code byte
	id         uint64
	fields     string
	body       []byte
}

func (f frame) encode() []byte {
	out := make([]byte, 0, headSize+len(f.fields)+len(f.body)+4)
	out = append(out, f.mark, f.code)
	out = binary.BigEndian.AppendUint16(out, uint16(len(f.fields)))
	out = binary.BigEndian.AppendUint32(out, uint32(len(f.body)))
	out = binary.BigEndian.AppendUint64(out, f.id)
	out = append(out, f.fields...)
	out = append(out, f.body...)
	return binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(out[headSize:]))
}

// readFrame reads one frame with the given mark. Errors other than those of r wrap errFrame.
func readFrame(r io.Reader, mark byte) (frame, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, err
	}
	fields, body := int(binary.BigEndian.Uint16(head[2:])), binary.BigEndian.Uint32(head[4:])
	// A length field is a peer's claim: without the bound, one broken frame would take all memory.
	if head[0] != mark || body > mostAnswer {
		return frame{}, fmt.Errorf("%w: mark %d, %d bytes of body", errFrame, head[0], body)
	}
	// Room is made as the bytes come: a claim alone gets none.
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r, int64(fields)+int64(body)+4); err != nil {
		return frame{}, err
	}
	rest := data.Bytes()
	rest, check := rest[:len(rest)-4], rest[len(rest)-4:]
	if crc32.ChecksumIEEE(rest) != binary.BigEndian.Uint32(check) {
		return frame{}, fmt.Errorf("%w: check does not match", errFrame)
	}
	return frame{mark: head[0], code: head[1], id: binary.BigEndian.Uint64(head[8:]),
		fields: string(rest[:fields]), body: rest[fields:]}, nil
}

func (f frame) field(name string) string {
	for _, part := range strings.Split(f.fields, ",") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			return v
		}
	}
	return ""
}
