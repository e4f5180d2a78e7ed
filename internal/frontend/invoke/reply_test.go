package invoke

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// A client must not be told where to look up an invocation that is not stored: it would be unknown after a restart (review case 3).
func TestPendingDocumentNeedsARecord(t *testing.T) {
	pending := &invocation.Invocation{ID: "t1", State: invocation.StateSubmitted}
	unrecorded := httptest.NewRecorder()
	err := (&Server{}).writeView(unrecorded, executor.View{Invocation: pending})
	assert.Equal(t, http.StatusServiceUnavailable, problemFor(err).Status)
	assert.True(t, problemFor(err).Retryable)
	assert.Empty(t, unrecorded.Header())
	recorded := httptest.NewRecorder()
	assert.NoError(t, (&Server{}).writeView(recorded, executor.View{Invocation: pending, Durable: true}))
	assert.Equal(t, http.StatusAccepted, recorded.Code)
	assert.Equal(t, invocationPath("t1"), recorded.Header().Get("Location"))
}

// Every error of the store's Create and Apply has a problem document. The call was not accepted in any of these cases, so a retry
// must be called harmless where a later one can succeed.
func TestProblemOfEveryStoreError(t *testing.T) {
	for _, test := range []struct {
		err       error
		status    int
		name      string
		retryable bool
	}{
		{invocation.ErrQuotaExceeded, http.StatusServiceUnavailable, "refused", true},
		{invocation.ErrStoreFull, http.StatusServiceUnavailable, "refused", true},
		{invocation.ErrSuperseded, http.StatusServiceUnavailable, "refused", true},
		{invocation.ErrStorage, http.StatusServiceUnavailable, "storage", true},
		{invocation.ErrKeyReused, http.StatusUnprocessableEntity, "key-reused", false},
		{invocation.ErrNotFound, http.StatusNotFound, "not-found", false},
		{invocation.ErrExpired, http.StatusGone, "expired", false},
	} {
		p := problemFor(test.err)
		assert.Equal(t, test.status, p.Status, test.err)
		assert.Equal(t, problemTypePrefix+test.name, p.Type, test.err)
		assert.Equal(t, test.retryable, p.Retryable, test.err)
		assert.Equal(t, test.retryable, p.retryAfter > 0, test.err)
	}
}
