package resp

import "errors"

// The limits of a request, which is a RESP array of bulk strings. The command, the tag and so on are its arguments.
const (
	maxArguments     = 8
	maxArgumentBytes = 20 << 10
	maxLengthDigits  = 5 // digits of a number of arguments or of a length in bytes
)

const (
	arrayMarker      = '*' // precedes the number of arguments
	bulkStringMarker = '$' // precedes the length of an argument
	lineEnd          = "\r\n"
	lineEndBytes     = len(lineEnd)
)

// errMalformedRequest is returned for a request after which the connection is closed, because the boundaries of the following
// requests are unknown, or because the request has no tag that could identify its answer.
var errMalformedRequest = errors.New("malformed request")

// validatorState is the part of a request that a requestValidator expects next.
type validatorState int

const (
	expectMarker validatorState = iota
	expectDigits
	expectLineFeed // after the carriage return of a header
	expectArgument // bytes of an argument, including its line end
)

// requestValidator checks the bytes that a client sends before a requestReader parses them. It also tells, for each read, how many
// requests the bytes complete, which decides whether the connection is idle. Below, a header is a line that states a number of arguments or a length: marker,
// digits, line end. The zero value expects the start of a request.
type requestValidator struct {
	state         validatorState
	marker        byte // of the current header
	digits        int  // digits of the current header read so far
	value         int  // value of these digits
	argumentsLeft int  // arguments of the request that have not begun yet
	bytesLeft     int  // remaining bytes of the current argument, including its line end
	completed     int  // requests completed since the last takeCompleted
}

// accept reports whether data is a valid continuation of the bytes accepted before. After it has returned false, the validator
// must not be used again.
func (v *requestValidator) accept(data []byte) bool {
	for len(data) > 0 {
		if v.state == expectArgument {
			data = data[v.skipArgument(len(data)):]
			continue
		}
		if !v.acceptHeaderByte(data[0]) {
			return false
		}
		data = data[1:]
	}
	return true
}

// withinRequest reports whether a request has begun and is not complete.
func (v *requestValidator) withinRequest() bool {
	return v.state != expectMarker || v.argumentsLeft > 0
}

// skipArgument skips the rest of the current argument, up to available bytes, and returns the number of bytes skipped.
func (v *requestValidator) skipArgument(available int) int {
	skipped := min(v.bytesLeft, available)
	v.bytesLeft -= skipped
	if v.bytesLeft == 0 {
		v.state = expectMarker
		if v.argumentsLeft == 0 {
			v.completed++
		}
	}
	return skipped
}

// takeCompleted returns the number of requests completed since its last call.
func (v *requestValidator) takeCompleted() int {
	completed := v.completed
	v.completed = 0
	return completed
}

// acceptHeaderByte processes one byte of a header and reports whether it is valid.
func (v *requestValidator) acceptHeaderByte(b byte) bool {
	switch v.state {
	case expectMarker:
		return v.acceptMarker(b)
	case expectDigits:
		if b == '\r' {
			v.state = expectLineFeed
			return v.digits > 0
		}
		return v.acceptDigit(b)
	case expectLineFeed:
		return b == '\n' && v.endHeader()
	default:
		return false
	}
}

func (v *requestValidator) acceptMarker(b byte) bool {
	v.marker = bulkStringMarker
	if v.argumentsLeft == 0 {
		v.marker = arrayMarker
	}
	v.state = expectDigits
	v.digits = 0
	v.value = 0
	return b == v.marker
}

func (v *requestValidator) acceptDigit(b byte) bool {
	if b < '0' || b > '9' || v.digits == maxLengthDigits {
		return false
	}
	v.digits++
	v.value = v.value*10 + int(b-'0')
	return true
}

// endHeader processes the end of a header and reports whether the header's value is within its limits.
func (v *requestValidator) endHeader() bool {
	if v.marker == arrayMarker {
		v.state = expectMarker
		v.argumentsLeft = v.value
		return v.value >= 1 && v.value <= maxArguments
	}
	v.state = expectArgument
	v.argumentsLeft--
	v.bytesLeft = v.value + lineEndBytes
	return v.value <= maxArgumentBytes
}
