package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an unreachable zone found out worker by worker: each of 80 dispatchers lost a request at each of 14
// workers. Three requests to three workers of one zone without any answer are enough.
func TestSilentZoneIsEjectedAsAWhole(t *testing.T) {
	f := newLargeFleet(t, 40)
	inZone := func(w *worker) bool { return w.Zone == "z1" }
	lost := map[WorkerID]bool{}
	for len(lost) < 3 {
		f.advance(f.now + 20*ms)
		name := f.functionAt(func(w *worker) bool { return inZone(w) && !lost[w.ID] })
		lost[f.firstWorker(f.request("unsafe", name, time.Second))] = true
	}
	f.advance(f.now + 200*ms)
	for range 5 {
		w := f.b.workers[f.firstWorker(f.request("unsafe", f.functionAt(inZone), time.Second))]
		require.NotEqual(t, "z1", w.Zone, "sent to %s, which has not answered", w.ID)
	}
	for id := range lost { // one answer of any of them, and the zone is back
		f.b.markHealthy(f.b.workers[id])
		break
	}
	name := f.functionAt(func(w *worker) bool { return inZone(w) && !lost[w.ID] })
	w := f.b.workers[f.firstWorker(f.request("unsafe", name, time.Second))]
	require.Equal(t, "z1", w.Zone)
}
