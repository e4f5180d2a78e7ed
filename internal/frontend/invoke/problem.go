package invoke

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// problem is an RFC 9457 problem document, with two members of ours.
type problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Instance   string `json:"instance,omitempty"`
	Retryable  bool   `json:"retryable"`      // another try does no harm
	MayHaveRun bool   `json:"may_have_run"`   // the function may have run, or run still
	Heir       string `json:"heir,omitempty"` // the ticket that the operators have had go again for this one

	retryAt time.Time
}

const typeBase = "urn:kitefall:problem:"

func newProblem(status int, kind, title string) *problem {
	return &problem{Type: typeBase + kind, Title: title, Status: status}
}

func (p *problem) because(detail string) *problem {
	p.Detail = detail
	return p
}

func badRequest(detail string) *problem {
	return newProblem(http.StatusBadRequest, "bad-request", "The request cannot be used").because(detail)
}

func notFound() *problem {
	return newProblem(http.StatusNotFound, "not-found", "There is nothing here for you")
}

func refused(at time.Time) *problem {
	p := newProblem(http.StatusServiceUnavailable, "refused", "The call was refused; trying again does no harm")
	p.Retryable, p.retryAt = true, at
	return p
}

func (p *problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if !p.retryAt.IsZero() {
		seconds := math.Ceil(time.Until(p.retryAt).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// problemOf words an error of the desk.
func problemOf(err error) *problem {
	switch {
	case errors.Is(err, invocation.ErrNotFound):
		return notFound()
	case errors.Is(err, invocation.ErrExpired):
		return newProblem(http.StatusGone, "expired", "The ticket's answer is kept no longer")
	case errors.Is(err, invocation.ErrKeyReused):
		return newProblem(http.StatusUnprocessableEntity, "key-reused", "The Idempotency-Key belongs to another request")
	case errors.Is(err, invocation.ErrStoreFull):
		return refused(time.Now().Add(time.Minute)).because("too many tickets are kept")
	case errors.Is(err, invocation.ErrQuotaExceeded):
		return refused(time.Now().Add(time.Minute)).because("this tenant has too many tickets, or too large ones")
	default: // nothing was taken on that is not on record
		p := newProblem(http.StatusServiceUnavailable, "storage", "Calls cannot be put on record at present")
		p.Retryable, p.retryAt = true, time.Now().Add(10*time.Second)
		return p
	}
}

// problemOfEnd words the end of a ticket that was not served.
func problemOfEnd(t executor.View, safe bool) *problem {
	var p *problem
	switch {
	case t.Outcome == invocation.OutcomeRejected:
		p = refused(t.RetryAt)
	case t.Outcome == invocation.OutcomeDeadlineExceeded:
		p = newProblem(http.StatusGatewayTimeout, "deadline", "The deadline came before the answer")
		p.Retryable = safe || !t.MayHaveRun
	case t.Outcome == invocation.OutcomeCancelled:
		p = newProblem(http.StatusConflict, "given-up", "The call was given up by its owner")
		p.Retryable = safe || !t.MayHaveRun
	case t.MayHaveRun:
		p = newProblem(http.StatusBadGateway, "may-have-run", "The call may have run: do not repeat it")
	default:
		p = newProblem(http.StatusInternalServerError, "failed", "The call failed before it ran")
		p.Retryable = true
	}
	p.MayHaveRun = t.MayHaveRun
	if t.Durable {
		p.Instance = path(t.ID)
	}
	if t.RedrivenAs != "" {
		p.Heir = path(t.RedrivenAs)
	}
	return p
}
