package invoke

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"kitefall/internal/invocation"
)

// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// parseRequest reads and validates a request to invoke a function. The function's class, idempotency and maximum run time
// come from the catalog, never from the client. The error is a *problem.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request, tenant string, deferred bool,
) (invocation.Request, error) {
	name := r.PathValue(functionParameter)
	function := s.config.Functions[name]
	if function == nil {
		return invocation.Request{}, notFound()
	}
	request := invocation.Request{
		Tenant:     tenant,
		Function:   name,
		Class:      function.Class,
		Idempotent: function.idempotent,
		Deferred:   deferred,
		RunTimeout: function.MaxDeadline,
	}
	now := s.executor.Clock().Now() // the executor compares the times of a request with this clock
	if err := parseHeaders(r.Header, function, &request, now); err != nil {
		return invocation.Request{}, err
	}
	body, err := s.readBody(w, r, function.MaxBody)
	if err != nil {
		return invocation.Request{}, err
	}
	request.Body = body
	request.Fingerprint = fingerprint(name, body)
	return request, nil
}

// parseHeaders validates the headers and sets the request's key, urgency, start time and expiry.
func parseHeaders(header http.Header, function *Function, request *invocation.Request, now time.Time) error {
	if err := checkMediaType(header, function.ContentType); err != nil {
		return err
	}
	key, err := parseIdempotencyKey(header)
	if err != nil {
		return err
	}
	lifetime, err := parseLifetime(header, function, request.Deferred)
	if err != nil {
		return err
	}
	notBefore, err := parseNotBefore(header, request.Deferred, lifetime, now)
	if err != nil {
		return err
	}
	request.IdempotencyKey = key
	request.Urgency = parseUrgency(header)
	request.NotBefore = notBefore
	request.Expires = now.Add(lifetime)
	return nil
}

func checkMediaType(header http.Header, accepted string) error {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil || mediaType != accepted || header.Get("Content-Encoding") != "" {
		return unsupportedMediaType(accepted)
	}
	return nil
}

func parseIdempotencyKey(header http.Header) (string, error) {
	key := header.Get(idempotencyKeyHeader)
	if len(key) > maxIdempotencyKeyBytes || len(header.Values(idempotencyKeyHeader)) > 1 {
		return "", badRequest(idempotencyKeyHeader + " is too long, or given twice")
	}
	return key, nil
}

// parseLifetime returns how long the invocation may take: the time that the client requests, capped at the function's
// maximum, or the function's default.
func parseLifetime(header http.Header, function *Function, deferred bool) (time.Duration, error) {
	lifetime := function.Deadline
	limit := function.MaxDeadline
	if deferred {
		lifetime = function.Lifetime
		limit = function.MaxLifetime
	}
	requested, err := parseSeconds(header, timeoutHeader)
	if err != nil {
		return 0, err
	}
	if requested > 0 {
		lifetime = min(requested, limit)
	}
	return lifetime, nil
}

// parseNotBefore returns the earliest time at which a run may start. It is zero if the client requests no delay.
func parseNotBefore(header http.Header, deferred bool, lifetime time.Duration, now time.Time) (time.Time, error) {
	delay, err := parseSeconds(header, delayHeader)
	if err != nil || delay == 0 {
		return time.Time{}, err
	}
	if !deferred || delay >= lifetime {
		return time.Time{}, badRequest(delayHeader + " is for deferred calls, and less than their life")
	}
	return now.Add(delay), nil
}

// readBody reads the body of a request. EndWaits ends the read of an incomplete body, and the request is rejected.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	// The read deadline applies only to the body: if it stayed set, it would also end the wait for the outcome.
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(readTimeout))
	removeLimit := context.AfterFunc(s.waitLimit.Load().ctx, func() { controller.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if limited := !removeLimit(); limited { // the read deadline may be set at any time from now on
		return nil, rejectedByDrain()
	}
	controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(maxBytes)
	}
	if err != nil {
		return nil, badRequest("the body ended early")
	}
	return body, nil
}

// fingerprint hashes the function's name and the body, which every request with the same Idempotency-Key must share. The
// hash is stored with the invocation, so its computation must not change.
func fingerprint(function string, body []byte) []byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q\n", function)
	hash.Write(body)
	return hash.Sum(nil)
}
