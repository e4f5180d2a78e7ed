package executor

import (
	"bytes"
	"sync"

	"kitefall/internal/invocation"
)

// keyReservations holds the Idempotency-Keys whose invocations might not be in the store yet. A reservation lasts while
// the first request with the key is being accepted and, for a foreground invocation, until it has completed.
type keyReservations struct {
	mu    sync.Mutex
	byKey map[string]*keyReservation
}

// keyReservation is the reservation of a tenant's Idempotency-Key by one request. Its result is one of the last three
// fields.
type keyReservation struct {
	key         string // tenant, a zero byte and the Idempotency-Key; empty if the request has no key
	fingerprint []byte

	settled    chan struct{}         // closed once one of the following fields is set
	foreground *foregroundInvocation // the foreground invocation that has the key
	storedID   string                // the ID of the stored invocation that has the key
	err        error                 // the error with which the request was refused
}

// reserve reserves the key of a request and returns the new reservation as own. If another request has reserved the
// key, reserve waits until that reservation is settled and returns it as holder. A request without a key always gets
// its own reservation. reserve fails with ErrKeyReused, or with the error that settled the other reservation.
func (s *keyReservations) reserve(request *invocation.Request) (own, holder *keyReservation, err error) {
	own = &keyReservation{fingerprint: request.Fingerprint, settled: make(chan struct{})}
	if request.IdempotencyKey == "" {
		return own, nil, nil
	}
	own.key = request.Tenant + "\x00" + request.IdempotencyKey
	holder = s.insert(own)
	if holder == nil {
		return own, nil, nil
	}
	if !bytes.Equal(holder.fingerprint, request.Fingerprint) {
		return nil, nil, invocation.ErrKeyReused
	}
	<-holder.settled
	return nil, holder, holder.err
}

// insert adds a reservation and returns nil. If its key is reserved already, insert adds nothing and returns the
// existing reservation.
func (s *keyReservations) insert(r *keyReservation) (holder *keyReservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder = s.byKey[r.key]; holder == nil {
		s.byKey[r.key] = r
	}
	return holder
}

// settleForeground assigns the key to a foreground invocation. The reservation lasts until release is called.
func (s *keyReservations) settleForeground(r *keyReservation, fg *foregroundInvocation) {
	r.foreground = fg
	close(r.settled)
}

// settleStored assigns the key to a stored invocation and ends the reservation, since the store finds the invocation by
// its key from now on.
func (s *keyReservations) settleStored(r *keyReservation, id string) {
	r.storedID = id
	close(r.settled)
	s.release(r)
}

// settleFailed releases the key of a request that was refused. The requests that wait for the reservation fail with the
// same error.
func (s *keyReservations) settleFailed(r *keyReservation, err error) {
	r.err = err
	close(r.settled)
	s.release(r)
}

// release ends a reservation. It has no effect if the reservation has ended already.
func (s *keyReservations) release(r *keyReservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[r.key] == r {
		delete(s.byKey, r.key)
	}
}
