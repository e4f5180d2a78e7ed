package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an unreachable zone that is detected worker by worker: each of 80 dispatchers lost a request at each
// of 14 workers. Three requests to three workers of a zone that are all unanswered must eject the zone.
func TestSilentZoneIsEjectedAsAWhole(t *testing.T) {
	f := newLargeFleet(t, 40)
	inZone := func(w *worker) bool { return w.Zone == "z1" }
	unanswered := map[WorkerID]bool{}
	for len(unanswered) < 3 {
		f.advance(f.now + 20*ms)
		name := f.functionAt(func(w *worker) bool { return inZone(w) && !unanswered[w.ID] })
		unanswered[f.firstWorker(f.request("unsafe", name, time.Second))] = true
	}
	f.advance(f.now + 200*ms)
	for range 5 {
		w := f.b.workers[f.firstWorker(f.request("unsafe", f.functionAt(inZone), time.Second))]
		require.NotEqual(t, "z1", w.Zone, "request sent to %s, in a zone that does not answer", w.ID)
	}
	for id := range unanswered { // an answer of any worker of the zone ends the zone's ejection
		f.b.markHealthy(f.b.workers[id])
		break
	}
	name := f.functionAt(func(w *worker) bool { return inZone(w) && !unanswered[w.ID] })
	w := f.b.workers[f.firstWorker(f.request("unsafe", name, time.Second))]
	require.Equal(t, "z1", w.Zone)
}
