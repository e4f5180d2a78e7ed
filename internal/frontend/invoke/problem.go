package invoke

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// problemTypePrefix precedes a problem's name in the type member.
const problemTypePrefix = "urn:kitefall:problem:"

const (
	quotaRetryAfter   = time.Minute      // after a rejection because the store or a tenant's quota is full
	storageRetryAfter = 10 * time.Second // after a store failure
)

// problem is a problem document (RFC 9457) with extension members. Handlers return it as an error.
type problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Instance   string `json:"instance,omitempty"`
	Retryable  bool   `json:"retryable"`      // a retry does no harm: the function did not run, or is idempotent
	MayHaveRun bool   `json:"may_have_run"`   // the function may have run, or may still be running
	RedrivenAs string `json:"heir,omitempty"` // path of the invocation that an operator started to redrive this dead letter

	retryAfter time.Duration // value of the Retry-After header; 0: the header is not sent
}

func (p *problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

func newProblem(status int, name, title string) *problem {
	return &problem{Type: problemTypePrefix + name, Title: title, Status: status}
}

func (p *problem) withDetail(detail string) *problem {
	p.Detail = detail
	return p
}

// withRetryAfter marks the problem as retryable after a duration, which is raised to 1 s if it is shorter.
func (p *problem) withRetryAfter(retryAfter time.Duration) *problem {
	p.Retryable = true
	p.retryAfter = max(retryAfter, time.Second)
	return p
}

func badRequest(detail string) *problem {
	return newProblem(http.StatusBadRequest, "bad-request", "The request cannot be used").withDetail(detail)
}

func notFound() *problem {
	return newProblem(http.StatusNotFound, "not-found", "There is nothing here for you")
}

func methodNotAllowed() *problem {
	return newProblem(http.StatusMethodNotAllowed, "method", "The method is not for this resource")
}

func forbidden() *problem {
	return newProblem(http.StatusForbidden, "forbidden", "The SPIFFE ID is that of no tenant")
}

func unsupportedMediaType(accepted string) *problem {
	return newProblem(http.StatusUnsupportedMediaType, "media-type", "The function takes "+accepted+" as it is")
}

func bodyTooLarge(maxBytes int64) *problem {
	title := fmt.Sprintf("The function takes %d bytes at most", maxBytes)
	return newProblem(http.StatusRequestEntityTooLarge, "too-large", title)
}

func rejected(retryAfter time.Duration) *problem {
	return newProblem(http.StatusServiceUnavailable, "refused", "The call was refused; trying again does no harm").
		withRetryAfter(retryAfter)
}

// notRecorded is the problem of an invocation that could not be stored. It was not accepted, so a retry does no harm.
func notRecorded() *problem {
	return newProblem(http.StatusServiceUnavailable, "storage", "Calls cannot be put on record at present").
		withRetryAfter(storageRetryAfter)
}

// write sends the problem as the response.
func (p *problem) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	if p.retryAfter > 0 {
		seconds := math.Ceil(p.retryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// problemFor returns the problem document for an error that a handler returned: a *problem or an error of the executor.
func problemFor(err error) *problem {
	var p *problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, invocation.ErrNotFound):
		return notFound()
	case errors.Is(err, invocation.ErrExpired):
		return newProblem(http.StatusGone, "expired", "The ticket's answer is kept no longer")
	case errors.Is(err, invocation.ErrKeyReused):
		return newProblem(http.StatusUnprocessableEntity, "key-reused", "The Idempotency-Key belongs to another request")
	case errors.Is(err, invocation.ErrSuperseded):
		return rejected(0).withDetail("another call has taken the Idempotency-Key meanwhile: a repeat gets its answer")
	case errors.Is(err, executor.ErrClientLeft): // read only by a client that has closed one direction of its connection
		p = newProblem(http.StatusConflict, "client-left", "The connection was closed before the answer: the call may have run")
		p.MayHaveRun = true
		return p
	case errors.Is(err, invocation.ErrStoreFull):
		return rejected(quotaRetryAfter).withDetail("too many tickets are kept")
	case errors.Is(err, invocation.ErrQuotaExceeded):
		return rejected(quotaRetryAfter).withDetail("this tenant has too many tickets, or too large ones")
	default: // The store failed.
		return notRecorded()
	}
}

// problemForOutcome returns the problem document for an invocation that completed without being served. The time now must be
// from the executor's clock.
func problemForOutcome(view executor.View, idempotent bool, now time.Time) *problem {
	p := newOutcomeProblem(view, idempotent, now)
	p.MayHaveRun = view.MayHaveRun
	if view.Durable {
		p.Instance = invocationPath(view.ID)
	}
	if view.RedrivenAs != "" {
		p.RedrivenAs = invocationPath(view.RedrivenAs)
	}
	return p
}

func newOutcomeProblem(view executor.View, idempotent bool, now time.Time) *problem {
	var p *problem
	switch {
	case view.Outcome == invocation.OutcomeRejected:
		return rejected(view.RetryAt.Sub(now))
	case view.Outcome == invocation.OutcomeDeadlineExceeded:
		p = newProblem(http.StatusGatewayTimeout, "deadline", "The deadline came before the answer")
		p.Retryable = idempotent || !view.MayHaveRun
	case view.Outcome == invocation.OutcomeCancelled:
		p = newProblem(http.StatusConflict, "given-up", "The call was given up by its owner")
		p.Retryable = idempotent || !view.MayHaveRun
	case view.MayHaveRun:
		p = newProblem(http.StatusBadGateway, "may-have-run", "The call may have run: do not repeat it")
	default:
		p = newProblem(http.StatusInternalServerError, "failed", "The call failed before it ran")
		p.Retryable = true
	}
	return p
}
