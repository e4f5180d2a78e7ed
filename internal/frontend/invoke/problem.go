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

// problemTypePrefix comes before the name of a problem's type.
const problemTypePrefix = "urn:kitefall:problem:"

const (
	quotaRetryAfter   = time.Minute      // after a rejection because too many invocations are kept
	storageRetryAfter = 10 * time.Second // after a failure of the store
)

// problem is a problem document by RFC 9457, with extension members. It is an error of a handler.
type problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Instance   string `json:"instance,omitempty"`
	Retryable  bool   `json:"retryable"`      // a retry does no harm
	MayHaveRun bool   `json:"may_have_run"`   // the function may have run, or run still
	RedrivenAs string `json:"heir,omitempty"` // the invocation that the operators have started in place of this one

	retryAfter time.Duration // sent as Retry-After; 0: not sent
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

// withRetryAfter makes the problem retryable after a time, 1 s at least.
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

// write answers with the problem.
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

// problemFor returns the problem document for an error of a handler: a problem itself, or an error of the executor.
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
	case errors.Is(err, invocation.ErrStoreFull):
		return rejected(quotaRetryAfter).withDetail("too many tickets are kept")
	case errors.Is(err, invocation.ErrQuotaExceeded):
		return rejected(quotaRetryAfter).withDetail("this tenant has too many tickets, or too large ones")
	default: // the store does not work: no invocation was accepted that it does not hold
		return newProblem(http.StatusServiceUnavailable, "storage", "Calls cannot be put on record at present").
			withRetryAfter(storageRetryAfter)
	}
}

// problemForOutcome returns the problem document for an invocation that was not served; now is by the executor's clock.
func problemForOutcome(view executor.View, idempotent bool, now time.Time) *problem {
	p := outcomeProblem(view, idempotent, now)
	p.MayHaveRun = view.MayHaveRun
	if view.Durable {
		p.Instance = invocationPath(view.ID)
	}
	if view.RedrivenAs != "" {
		p.RedrivenAs = invocationPath(view.RedrivenAs)
	}
	return p
}

func outcomeProblem(view executor.View, idempotent bool, now time.Time) *problem {
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
