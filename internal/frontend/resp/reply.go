package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"kitefall/internal/call"
)

// The words of answers.
const (
	wordServed   = "ok"
	wordRejected = "full"
	wordFailed   = "fault"
	wordReady    = "yes"
	wordNotReady = "no"
)

// fieldRetryAfter is the field of an answer that tells a rejected client when to come back, in milliseconds.
const fieldRetryAfter = "after"

// writeGrace is how long after its deadline an answer may still be written.
const writeGrace = time.Second

// answer is an answer on its way to the client. Source: client protocol.
type answer struct {
	tag           uint64 // of the request
	word          string
	fields        string
	body          []byte
	writeDeadline time.Time // it is of no use after this
}

// newAnswer returns an answer of a word alone.
func newAnswer(tag uint64, word string, deadline time.Time) answer {
	return answer{tag: tag, word: word, writeDeadline: deadline.Add(writeGrace)}
}

// newCallAnswer returns the answer to a call with a deadline. With sendRetryAfter a rejected client is told when to
// come back.
func newCallAnswer(tag uint64, result call.Answer, deadline time.Time, sendRetryAfter bool) answer {
	switch result.Outcome {
	case call.Served:
		served := newAnswer(tag, wordServed, deadline)
		served.body = result.Body
		return served
	case call.Rejected:
		rejected := newAnswer(tag, wordRejected, deadline)
		if sendRetryAfter && result.RetryAfter > 0 {
			rejected.fields = fieldRetryAfter + "=" + strconv.FormatInt(result.RetryAfter.Milliseconds(), 10)
		}
		return rejected
	default:
		return newAnswer(tag, wordFailed, deadline)
	}
}

// encode adds the answer to the buffer of conn, for the next flush.
func (a *answer) encode(conn redcon.DetachedConn) {
	conn.WriteArray(4)
	conn.WriteBulkString(strconv.FormatUint(a.tag, 10))
	conn.WriteBulkString(a.word)
	conn.WriteBulkString(a.fields)
	conn.WriteBulk(a.body)
}
