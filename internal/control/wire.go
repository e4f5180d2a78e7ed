package control

import (
	"errors"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// The control socket is a unix socket with HTTP. An operation is a POST to pathPrefix followed by the operation's name, with a
// request and a response in JSON. The status is 200, or 409 if the operation failed; the response then holds the error. Only the
// owner of the socket may open it, and may then call every operation.

// pathPrefix precedes the name of the operation in the path of a request.
const pathPrefix = "/v1/"

// The names of the operations.
const (
	operationList     = "list"
	operationShow     = "show"
	operationRedrive  = "redrive"
	operationPurge    = "purge"
	operationSnapshot = "snapshot"
	operationVerify   = "verify"
	operationCompact  = "compact"
)

// request holds the parameters of an operation. Each operation uses only some of the fields.
type request struct {
	Filter       store.Filter  `json:"filter,omitzero"`
	ID           string        `json:"id,omitempty"`
	IDs          []string      `json:"ids,omitempty"`
	Confirmed    bool          `json:"sure,omitempty"`
	Reason       string        `json:"reason,omitempty"`
	MinAge       time.Duration `json:"min_age,omitempty"` // nanoseconds
	SnapshotPath string        `json:"to,omitempty"`      // absolute
}

// response holds the result of an operation, or its error. Each operation sets only some of the fields.
type response struct {
	Invocations []Invocation `json:"tickets,omitempty"`
	Count       int          `json:"count,omitempty"`
	SizeBefore  int64        `json:"before,omitempty"` // in bytes
	SizeAfter   int64        `json:"after,omitempty"`  // in bytes
	ErrorCode   string       `json:"fault,omitempty"`  // a key of errorCodes; empty for any other error
	ErrorText   string       `json:"text,omitempty"`
}

// errorCodes maps the error codes of the protocol to the errors that the client returns for them.
var errorCodes = map[string]error{
	"unknown":   invocation.ErrNotFound,
	"expired":   invocation.ErrExpired,
	"not-dead":  invocation.ErrNotDeadLetter,
	"unsure":    invocation.ErrNotConfirmed,
	"asked-for": invocation.ErrSuperseded,
	"full":      invocation.ErrStoreFull,
	"quota":     invocation.ErrQuotaExceeded,
	"store":     invocation.ErrStorage,
}

// errorCode returns the code of err, or an empty string if it has none.
func errorCode(err error) string {
	for code, known := range errorCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}

// remoteError is an error in a response of the dispatcher. It unwraps to the error that its code stands for, if it has a code.
type remoteError struct {
	text  string
	cause error
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.cause }
