package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against memory and sweeps that grow with the rate at which clients call ever new functions (incident of floods). A function
// that is called often stays known.
func TestNumberOfKnownFunctionsIsBounded(t *testing.T) {
	f, _ := newLeaseFleet(t, 2)
	for i := range maxFunctions + maxFunctions/8 {
		f.request("safe", fmt.Sprintf("new-%d", i), 100*ms)
		if i%1024 == 0 {
			f.request("safe", "often", 100*ms)
			f.advance(f.now + 300*ms)
		}
	}
	f.advance(f.now + hotSetInterval + 300*ms)
	assert.LessOrEqual(t, len(f.b.functions), maxFunctions+minRememberedFunctions)
	assert.Contains(t, f.b.functions, FunctionID("often"))
}
