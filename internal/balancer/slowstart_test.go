package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards rule 4: a worker that has just started gets no more than this dispatcher's share of the overload multiple.
func TestSlowStartLimitsSends(t *testing.T) {
	s := testSettings()
	f := newFleet(t, s, 1)
	f.now = 20 * time.Second
	f.update(ScopeFull, Worker{ID: "cold", Weight: 1, Started: f.now})
	for i := range 50 {
		f.request("safe", fmt.Sprintf("f%d", i%3), 900*ms)
		f.endLoads(OK)
	}
	if n := f.sentTo["cold"]; n > 1 {
		t.Errorf("%d requests to a worker that has just started, of which nothing is known", n)
	}
	if f.sentTo["cold"] == 0 {
		t.Error("a fresh worker is never tried")
	}
}
