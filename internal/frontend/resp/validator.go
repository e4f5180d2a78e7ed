package resp

import "errors"

// The bounds of a request. Its arguments are the words of the protocol, each sent as a RESP bulk string.
const (
	maxArguments     = 8
	maxArgumentBytes = 20 << 10
	maxLengthDigits  = 5 // of a count of arguments or a length in bytes
)

const (
	arrayMarker      = '*' // before the count of arguments
	bulkStringMarker = '$' // before the length of an argument
	lineEndBytes     = len("\r\n")
)

// errMalformedRequest ends a connection: after it the boundaries of requests are unknown, or there is no tag that an
// answer could carry.
var errMalformedRequest = errors.New("malformed request")

// validatorState is what a requestValidator expects next.
type validatorState int

const (
	expectMarker validatorState = iota
	expectDigits
	expectLineFeed // after the carriage return of a count or length
	expectArgument // bytes of an argument with its line end
)

// requestValidator checks the bytes that a client sends before redcon parses them. Redcon trusts the lengths that it is
// told: a claimed count of arguments keeps it in a loop, a claimed length makes its buffer grow without bound, and a
// line with neither is taken for a command. Its zero value expects the begin of a request.
type requestValidator struct {
	state         validatorState
	marker        byte // of the count or length being read
	digits        int  // read of it so far
	number        int  // their value
	argumentsLeft int  // arguments of the request still to come
	bytesLeft     int  // bytes of the argument, with its line end, still to come
	completed     int  // requests that have come whole since takeCompleted
}

// accept reports whether data may follow what was accepted before. After false the validator is not to be used again.
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

// withinRequest reports whether a request has begun and is incomplete.
func (v *requestValidator) withinRequest() bool {
	return v.state != expectMarker || v.argumentsLeft > 0
}

// skipArgument passes over up to available bytes of an argument and returns their number.
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

// takeCompleted returns how many requests have come whole since it was last asked.
func (v *requestValidator) takeCompleted() int {
	completed := v.completed
	v.completed = 0
	return completed
}

// acceptHeaderByte takes a byte of a count or length: its marker, its digits, its line end.
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
	v.number = 0
	return b == v.marker
}

func (v *requestValidator) acceptDigit(b byte) bool {
	if b < '0' || b > '9' || v.digits == maxLengthDigits {
		return false
	}
	v.digits++
	v.number = v.number*10 + int(b-'0')
	return true
}

// endHeader ends a count or length and reports whether it is within its bounds.
func (v *requestValidator) endHeader() bool {
	if v.marker == arrayMarker {
		v.state = expectMarker
		v.argumentsLeft = v.number
		return v.number >= 1 && v.number <= maxArguments
	}
	v.state = expectArgument
	v.argumentsLeft--
	v.bytesLeft = v.number + lineEndBytes
	return v.number <= maxArgumentBytes
}
