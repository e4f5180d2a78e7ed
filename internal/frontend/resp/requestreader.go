package resp

import (
	"bufio"
	"errors"
	"io"
	"strconv"

	"kitefall/internal/call"
)

// The limits of what is kept of a request. What exceeds them is read and dropped, and the request is answered as failed.
const (
	maxFieldsBytes      = 8 << 10 // of the text of all fields; the longest field is an idempotency key of call.MaxKeyBytes
	maxOtherBytes       = 256     // of all arguments but the fields and the body
	maxRequestBytes     = call.MaxBodyBytes + maxFieldsBytes + maxOtherBytes
	initialRequestBytes = 512
)

// readBufferSize is the size of the buffer between the socket and a requestReader.
const readBufferSize = 4 << 10

// request is one request as it was received.
type request struct {
	arguments [][]byte // valid until the next request is read
	size      int      // total length of the arguments as sent, in bytes
	truncated bool     // arguments beyond maxRequestBytes were dropped; they are empty here
}

// requestReader reads requests from a connection whose bytes a requestValidator has accepted. It keeps at most maxRequestBytes of
// a request, and reuses that memory for the next one. It is used by one goroutine.
type requestReader struct {
	source    *bufio.Reader
	storage   []byte // the arguments of the current request, one after the other
	ends      []int  // where each argument ends in storage
	arguments [][]byte
}

func newRequestReader(source io.Reader) *requestReader {
	return &requestReader{source: bufio.NewReaderSize(source, readBufferSize)}
}

// buffered reports whether bytes were read from the connection that do not belong to a returned request.
func (r *requestReader) buffered() bool { return r.source.Buffered() > 0 }

// next returns the next request. It blocks until the request is complete.
func (r *requestReader) next() (request, error) {
	count, err := r.readHeader()
	if err != nil {
		return request{}, err
	}
	r.storage = r.storage[:0]
	r.ends = r.ends[:0]
	received := request{}
	for range count {
		length, err := r.readHeader()
		if err != nil {
			return request{}, err
		}
		received.size += length
		kept, err := r.readArgument(length)
		if err != nil {
			return request{}, err
		}
		received.truncated = received.truncated || !kept
	}
	received.arguments = r.sliceArguments()
	return received, nil
}

// readHeader reads a line that states a number of arguments or a length, and returns the number.
func (r *requestReader) readHeader() (int, error) {
	line, err := r.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(line) <= lineEndBytes {
		return 0, errMalformedRequest
	}
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(string(line[1 : len(line)-lineEndBytes]))
	if err != nil || number < 0 {
		return 0, errMalformedRequest
	}
	return number, nil
}

// readArgument reads an argument of the given length and its line end. It keeps the argument if there is room for it, and reports
// whether it did.
func (r *requestReader) readArgument(length int) (kept bool, err error) {
	begin := len(r.storage)
	kept = begin+length <= maxRequestBytes
	if kept {
		r.reserve(begin + length)
		r.storage = r.storage[:begin+length]
		if _, err := io.ReadFull(r.source, r.storage[begin:]); err != nil {
			return false, err
		}
		length = 0
	}
	r.ends = append(r.ends, len(r.storage))
	_, err = r.source.Discard(length + lineEndBytes)
	return kept, err
}

// reserve makes room for size bytes in storage. It doubles the room up to maxRequestBytes.
func (r *requestReader) reserve(size int) {
	if size <= cap(r.storage) {
		return
	}
	grown := max(size, initialRequestBytes, min(2*cap(r.storage), maxRequestBytes))
	r.storage = append(make([]byte, 0, grown), r.storage...)
}

// sliceArguments returns the arguments that were read into storage.
func (r *requestReader) sliceArguments() [][]byte {
	r.arguments = r.arguments[:0]
	begin := 0
	for _, end := range r.ends {
		r.arguments = append(r.arguments, r.storage[begin:end:end])
		begin = end
	}
	return r.arguments
}
