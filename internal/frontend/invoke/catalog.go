package invoke

import (
	"fmt"

	"kitefall/internal/call"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// minRunCost is the lowest cost of a run that the scheduler charges, in seconds of work. Even a run with a work
// estimate of 0 occupies a slot at a worker and takes one frame to the worker and one back.
const minRunCost = 0.01

// Describe returns a function's key at the workers and the cost of one run, and reports whether the catalog has the
// function.
func (c *Config) Describe(name string) (executor.Function, bool) {
	function := c.Functions[name]
	if function == nil {
		return executor.Function{}, false
	}
	return executor.Function{Key: function.Key, Cost: max(function.WorkEstimate.Seconds(), minRunCost)}, true
}

// Call returns the call for one run of an invocation, with the properties that the catalog holds for its function. A key that cannot
// be sent to workers is left out.
func (c *Config) Call(request *invocation.Request) (*call.Call, error) {
	function := c.Functions[request.Function]
	if function == nil {
		return nil, fmt.Errorf("function %q is not in the catalog", request.Function)
	}
	key := request.IdempotencyKey
	if !call.IsKey(key) {
		key = ""
	}
	return &call.Call{
		IdempotencyKey: key,

		Class:        function.Class,
		Tenant:       request.Tenant,
		Function:     function.Key,
		WorkEstimate: function.WorkEstimate,
		MemoryMB:     function.MemoryMB,
		Concurrency:  function.Concurrency,
		LoadTime:     function.LoadTime,
		Body:         request.Body,
	}, nil
}
