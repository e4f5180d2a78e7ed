package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDedupTimeLeftIsThatOfTheFirstAttemptThatMayRun(t *testing.T) {
	ended := &attempt{sentAt: time.Second}
	first := &attempt{sentAt: 2 * time.Second, mayHaveRun: true}
	second := &attempt{sentAt: 3 * time.Second, pending: true}
	for _, test := range []struct {
		name        string
		idempotency Idempotency
		attempts    []*attempt
		left        time.Duration
		limited     bool
	}{
		{"without a key", Idempotent, []*attempt{first}, 0, false},
		{"no attempt", IdempotentWithKey, nil, 0, false},
		{"none that may run", IdempotentWithKey, []*attempt{ended}, 0, false},
		{"one", IdempotentWithKey, []*attempt{ended, second}, 4 * time.Second, true},
		{"two", IdempotentWithKey, []*attempt{first, second}, 3 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			class := &Class{Idempotency: test.idempotency, DedupWindow: 5 * time.Second}
			r := &request{class: class, attempts: test.attempts}
			left, limited := r.dedupTimeLeft(4 * time.Second)
			require.Equal(t, test.left, left)
			require.Equal(t, test.limited, limited)
		})
	}
}

func TestDedupScope(t *testing.T) {
	primary := &worker{Worker: Worker{Zone: "a", Cell: 1}}
	sameCell := &worker{Worker: Worker{Zone: "b", Cell: 1}}
	sameZone := &worker{Worker: Worker{Zone: "a", Cell: 2}}
	for _, test := range []struct {
		name     string
		scope    DedupScope
		sameZone bool
		sameCell bool
	}{
		{"fleet", DedupFleet, true, true},
		{"zone", DedupZone, true, false},
		{"cell", DedupCell, false, true},
		{"unknown", DedupScope(9), false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &request{class: &Class{DedupScope: test.scope}, attempts: []*attempt{{worker: primary, pending: true}}}
			require.Equal(t, test.sameZone, r.dedupScopeCovers(sameZone))
			require.Equal(t, test.sameCell, r.dedupScopeCovers(sameCell))
		})
	}
}

// A rejection tells the client to retry. The retry must not run a request twice whose class forbids that.
func TestRetryIsHarmless(t *testing.T) {
	for _, test := range []struct {
		name    string
		class   Class
		started bool
		want    bool
	}{
		{"never ran", Class{Idempotency: NotIdempotent}, false, true},
		{"not idempotent", Class{Idempotency: NotIdempotent}, true, false},
		{"idempotent", Class{Idempotency: Idempotent}, true, true},
		{"keyed, fleet", Class{Idempotency: IdempotentWithKey, DedupScope: DedupFleet}, true, true},
		{"keyed, cell", Class{Idempotency: IdempotentWithKey, DedupScope: DedupCell}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &request{class: &test.class, attempts: []*attempt{{mayHaveRun: test.started}}}
			require.Equal(t, test.want, r.retryIsHarmless())
			wantForbidden := test.started && test.class.Idempotency == NotIdempotent
			require.Equal(t, wantForbidden, r.mustNotRepeat())
		})
	}
}
