package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"kitefall/internal/call"
)

// The words that answers begin with, after their tag.
const (
	wordServed   = "ok"
	wordRejected = "full"
	wordFailed   = "fault"
	wordReady    = "yes"
	wordNotReady = "no"
)

// fieldRetryAfter is the field of a rejecting answer that holds the time after which the client may retry, in milliseconds.
const fieldRetryAfter = "after"

// writeGrace is how long after the deadline of a call its answer may still be written. For an answer to any other request it
// runs from the creation of the answer.
const writeGrace = time.Second

// answer is an answer to a client's request. Source: client protocol.
type answer struct {
	tag           uint64 // of the request
	word          string
	fields        string
	body          []byte
	writeDeadline time.Time // the answer is of no use after this time
}

// newAnswer returns an answer with a word and neither fields nor a body.
func newAnswer(tag uint64, word string, deadline time.Time) answer {
	return answer{tag: tag, word: word, writeDeadline: deadline.Add(writeGrace)}
}

// newCallAnswer returns the answer to a call with the given deadline. If sendRetryAfter is set, the answer to a rejected call
// says after how long the client may retry.
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

// encode appends the answer to the write buffer of conn. The next flush writes it.
func (a *answer) encode(conn redcon.DetachedConn) {
	conn.WriteArray(4)
	conn.WriteBulkString(strconv.FormatUint(a.tag, 10))
	conn.WriteBulkString(a.word)
	conn.WriteBulkString(a.fields)
	conn.WriteBulk(a.body)
}
