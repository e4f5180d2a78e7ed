package resp

import (
	"strconv"

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

// answer is an answer to a client's request. Source: client protocol.
type answer struct {
	tag    uint64 // of the request
	word   string
	fields string
	body   []byte
}

// newAnswer returns an answer with a word and neither fields nor a body.
func newAnswer(tag uint64, word string) answer { return answer{tag: tag, word: word} }

// newCallAnswer returns the answer to a call. If sendRetryAfter is set, the answer to a rejected call says after how long the
// client may retry.
func newCallAnswer(tag uint64, result call.Answer, sendRetryAfter bool) answer {
	switch result.Outcome {
	case call.Served:
		served := newAnswer(tag, wordServed)
		served.body = result.Body
		return served
	case call.Rejected:
		rejected := newAnswer(tag, wordRejected)
		if sendRetryAfter && result.RetryAfter > 0 {
			rejected.fields = fieldRetryAfter + "=" + strconv.FormatInt(result.RetryAfter.Milliseconds(), 10)
		}
		return rejected
	default:
		return newAnswer(tag, wordFailed)
	}
}
