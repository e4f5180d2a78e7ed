package invoke

import (
	"fmt"

	"kitefall/internal/call"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// minRunCost is the least cost of a run to the scheduler, in seconds: it takes a place and a frame each way.
const minRunCost = 0.01

// Describe returns what the scheduler needs to know of a function, and whether the catalog has it.
func (c *Config) Describe(name string) (executor.Function, bool) {
	function := c.Functions[name]
	if function == nil {
		return executor.Function{}, false
	}
	return executor.Function{Key: function.Key, Cost: max(function.WorkEstimate.Seconds(), minRunCost)}, true
}

// Call makes a call for a run of an invocation, with the properties of its function.
func (c *Config) Call(request *invocation.Request) (*call.Call, error) {
	function := c.Functions[request.Function]
	if function == nil {
		return nil, fmt.Errorf("no function %q", request.Function)
	}
	return &call.Call{
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
