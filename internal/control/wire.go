package control

import (
	"errors"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// The control socket is a unix socket that speaks HTTP. An operation is a POST to pathPrefix followed by its name, with a
// request and a response in JSON. The status is 200, or 409 with the error in the response. Only the owner of the socket
// may open it; whoever can may do everything.

// pathPrefix precedes the name of an operation in the request's path.
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

// request holds the parameters of any operation.
type request struct {
	Filter       store.Filter  `json:"filter,omitzero"`
	ID           string        `json:"id,omitempty"`
	IDs          []string      `json:"ids,omitempty"`
	Confirmed    bool          `json:"sure,omitempty"`
	Reason       string        `json:"reason,omitempty"`
	MinAge       time.Duration `json:"min_age,omitempty"` // nanoseconds
	SnapshotPath string        `json:"to,omitempty"`
}

// response holds the result of any operation, or its error.
type response struct {
	Invocations []Invocation `json:"tickets,omitempty"`
	Count       int          `json:"count,omitempty"`
	SizeBefore  int64        `json:"before,omitempty"` // bytes
	SizeAfter   int64        `json:"after,omitempty"`
	ErrorCode   string       `json:"fault,omitempty"` // see errorCodes
	ErrorText   string       `json:"text,omitempty"`
}

// errorCodes are the errors that keep their meaning over the socket, by the code that stands for each there.
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

// errorCode returns the code that stands for err, or an empty string if there is none.
func errorCode(err error) string {
	for code, known := range errorCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}

// remoteError is an error that the dispatcher has returned. It unwraps to the error that its code stands for, if any.
type remoteError struct {
	text  string
	cause error
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.cause }
