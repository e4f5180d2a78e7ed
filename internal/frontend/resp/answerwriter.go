package resp

import (
	"io"
	"strconv"

	"github.com/tidwall/redcon"
)

// writeBufferSize is the number of bytes of answers that are gathered for one write.
const writeBufferSize = 16 << 10

// answerWriter encodes answers and gathers them for few writes. It holds about writeBufferSize bytes, however long the answers are.
// It is used by one goroutine. After an error, all further calls return it.
type answerWriter struct {
	destination io.Writer
	buffer      []byte
	err         error
}

// write encodes an answer. It writes to the destination if the buffer is full.
func (w *answerWriter) write(a *answer) {
	w.buffer = redcon.AppendArray(w.buffer, 4)
	w.buffer = redcon.AppendBulkString(w.buffer, strconv.FormatUint(a.tag, 10))
	w.buffer = redcon.AppendBulkString(w.buffer, a.word)
	w.buffer = redcon.AppendBulkString(w.buffer, a.fields)
	if len(w.buffer)+len(a.body) <= writeBufferSize {
		w.buffer = redcon.AppendBulk(w.buffer, a.body)
		return
	}
	w.buffer = append(w.buffer, bulkStringMarker)
	w.buffer = strconv.AppendInt(w.buffer, int64(len(a.body)), 10)
	w.buffer = append(w.buffer, lineEnd...)
	w.flush()
	w.send(a.body)
	w.buffer = append(w.buffer, lineEnd...)
}

// flush writes what the buffer holds, and returns the first error so far.
func (w *answerWriter) flush() error {
	w.send(w.buffer)
	w.buffer = w.buffer[:0]
	return w.err
}

func (w *answerWriter) send(data []byte) {
	if w.err == nil && len(data) > 0 {
		_, w.err = w.destination.Write(data)
	}
}
