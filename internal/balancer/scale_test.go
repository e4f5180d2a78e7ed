package balancer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChurn measures one second of operation of six dispatchers with many workers: eight changes of workers,
// and 240 requests of 400 functions in all, which is forty requests for each dispatcher. It also reports the longest
// time that a balancer took for one event.
func BenchmarkChurn(b *testing.B) {
	for _, workers := range []int{200, 1000, 3200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			g := newDispatcherGroup(b, testSettings(), 6, workers)
			g.functions = 400
			g.runTraffic(5*time.Second, 240)
			g.longestEvent = 0
			b.ResetTimer()
			for range b.N {
				for i := range 8 {
					g.changeWorker(i)
					g.runTraffic(125*time.Millisecond, 240)
				}
			}
			b.ReportMetric(float64(g.longestEvent.Microseconds()), "µs-longest")
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N)/6, "ms/dispatcher-s")
		})
	}
}
