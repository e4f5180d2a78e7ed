package worker

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
	"time"

	"kitefall/internal/balancer"
)

// Values of the first byte of a frame, which identifies the sender (source: worker protocol).
const (
	markCommand byte = 192 // from the dispatcher
	markAnswer  byte = 193 // from the worker
)

// frameCode is the second byte of a frame: the kind of command, or the outcome in an answer (source: worker protocol).
type frameCode byte

// Codes of commands.
const (
	codeCall   frameCode = 48
	codeCancel frameCode = 49 // the worker sends no answer
	codeLoad   frameCode = 52
	codeUnload frameCode = 54 // the worker sends no answer
)

// Codes of answers.
const (
	codeOK       frameCode = 64
	codeMiss     frameCode = 66
	codeRejected frameCode = 67
	codeFailed   frameCode = 68
	codeNotRun   frameCode = 69 // the call ended before the worker started it
	codePong     frameCode = 70 // shows that the connection works; ends no request
)

// Names of the fields of frames (source: worker protocol).
const (
	fieldClass      = "profile"
	fieldFunction   = "thing"
	fieldTimeLeft   = "max"    // milliseconds
	fieldKey        = "replay" // idempotency key
	fieldCopies     = "n"
	fieldWarmth     = "remark"
	fieldQueueDepth = "same"
)

const (
	headerSize    = 16
	checksumSize  = 4
	maxAnswerBody = 1 << 20 // bytes
)

// errBadFrame is wrapped by the errors for answers that violate the worker protocol.
var errBadFrame = errors.New("bad frame")

// statusOfCode maps the code of an answer to the status of the request.
var statusOfCode = map[frameCode]balancer.Status{
	codeOK:       balancer.OK,
	codeMiss:     balancer.Miss,
	codeRejected: balancer.Rejected,
	codeFailed:   balancer.Failed,
	codeNotRun:   balancer.NotSent,
	codePong:     balancer.OK,
}

// warmthOfRemark maps the field fieldWarmth of an answered call, which says whether the function was loaded, to a warmth.
// Any other value means that the warmth is unknown.
var warmthOfRemark = map[string]balancer.Warmth{
	"hot":     balancer.WarmthLoaded,
	"started": balancer.WarmthStartedLoad,
	"waited":  balancer.WarmthWaitedForLoad,
	"broken":  balancer.WarmthLoadFailed,
}

// frame is one message of the worker protocol. Its parts are listed below with their sizes in bytes; numbers are big-endian.
//
//	mark:1 code:1 len(fields):2 len(body):4 id:8, fields, body, CRC-32 (IEEE) of fields and body:4
type frame struct {
	mark   byte
	code   frameCode
	id     uint64
	fields string // in the form name=value,name=value
	body   []byte
}

// encode returns the frame as it is sent, with its checksum.
func (f frame) encode() []byte {
	data := make([]byte, 0, headerSize+len(f.fields)+len(f.body)+checksumSize)
	data = append(data, f.mark, byte(f.code))
	data = binary.BigEndian.AppendUint16(data, uint16(len(f.fields)))
	data = binary.BigEndian.AppendUint32(data, uint32(len(f.body)))
	data = binary.BigEndian.AppendUint64(data, f.id)
	data = append(data, f.fields...)
	data = append(data, f.body...)
	return binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data[headerSize:]))
}

// readFrame reads one frame and checks that it has the given mark. Errors other than those of r wrap errBadFrame.
func readFrame(r io.Reader, mark byte) (frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	fieldsSize := int64(binary.BigEndian.Uint16(header[2:]))
	bodySize := int64(binary.BigEndian.Uint32(header[4:]))
	// The peer sets the size: without a limit, one broken frame could exhaust the memory.
	if header[0] != mark || bodySize > maxAnswerBody {
		return frame{}, fmt.Errorf("%w: unexpected mark %d or oversized body of %d bytes", errBadFrame, header[0], bodySize)
	}
	payload, err := readPayload(r, fieldsSize+bodySize)
	if err != nil {
		return frame{}, err
	}
	return frame{
		mark:   header[0],
		code:   frameCode(header[1]),
		id:     binary.BigEndian.Uint64(header[8:]),
		fields: string(payload[:fieldsSize]),
		body:   payload[fieldsSize:],
	}, nil
}

// readPayload reads size bytes and the checksum that follows them.
func readPayload(r io.Reader, size int64) ([]byte, error) {
	// The buffer grows with the bytes that arrive, so a large size in the header does not by itself allocate memory.
	var buffer bytes.Buffer
	if _, err := io.CopyN(&buffer, r, size+checksumSize); err != nil {
		return nil, err
	}
	payload, checksum := buffer.Bytes()[:size], buffer.Bytes()[size:]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(checksum) {
		return nil, fmt.Errorf("%w: checksum does not match", errBadFrame)
	}
	return payload, nil
}

// field returns the value of the field with the given name, or "" if the frame has no such field.
func (f frame) field(name string) string {
	for part := range strings.SplitSeq(f.fields, ",") {
		if key, value, _ := strings.Cut(part, "="); key == name {
			return value
		}
	}
	return ""
}

// intField returns the value of a numeric field, or 0 if the field is absent or not a number.
func (f frame) intField(name string) int {
	value, _ := strconv.Atoi(f.field(name))
	return value
}

// result returns the result that an answer carries. If the code is unknown, it returns an error that wraps errBadFrame.
func (f frame) result() (Result, error) {
	status, ok := statusOfCode[f.code]
	if !ok {
		return Result{}, fmt.Errorf("%w: unknown code %d", errBadFrame, f.code)
	}
	return Result{
		Status:     status,
		Warmth:     warmthOfRemark[f.field(fieldWarmth)],
		QueueDepth: f.intField(fieldQueueDepth),
		Copies:     f.intField(fieldCopies),
		Body:       f.body,
	}, nil
}

// callFields returns the fields of a call. The time left is sent as at least 1 ms, since the protocol gives 0 no meaning. Without an
// idempotency key the field for it is left out.
func callFields(class, function, key string, timeLeft time.Duration) string {
	fields := fmt.Sprintf("%s=%s,%s=%s,%s=%d",
		fieldClass, class, fieldFunction, function, fieldTimeLeft, max(1, timeLeft.Milliseconds()))
	if key != "" {
		fields += fmt.Sprintf(",%s=%s", fieldKey, key)
	}
	return fields
}

// loadFields returns the fields of a load order for at least the given number of copies.
func loadFields(function string, copies int) string {
	return fmt.Sprintf("%s=%s,%s=%d", fieldFunction, function, fieldCopies, copies)
}

// unloadID returns the frame id of an unload order: the name of the function, parsed as a hexadecimal number.
func unloadID(function string) (uint64, error) { return strconv.ParseUint(function, 16, 64) }
