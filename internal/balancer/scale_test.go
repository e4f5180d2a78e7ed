package balancer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChurn measures a second of a dispatcher's life with many workers, eight of which change in it, and forty requests
// of a Zipf distribution. It also reports the longest time that one event took.
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
