package balancer

import (
	"hash/fnv"
	"math"
)

// mix is the finalizer of SplitMix64: it maps similar inputs to unrelated outputs.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to a number greater than 0 and at most 1.
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	h.Write([]byte{0})
	return mix(h.Sum64())
}

// rendezvousKey returns the sort key of a worker in the weighted rendezvous order of a function. The
// smallest key comes first.
func rendezvousKey(function, worker uint64, weight float64) float64 {
	return -math.Log(unitInterval(mix(function^worker))) / weight
}
