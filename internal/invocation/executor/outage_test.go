package executor

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
)

// The parameters of TestFleetReturnsEmptyAfterOutage.
const (
	outageInvocations = 5000 // deferred invocations that wait for the fleet
	outageFunctions   = 40   // functions among which the invocations are distributed
	outageLoadBurst   = 6    // LoadBurst of the balancer
	outageLoadRatio   = 0.15 // LoadRatio of the balancer

	// outageCallDuration is how long a worker takes for a call. The balancer ejects a worker that is silent for ten mean
	// answer times. The duration is long enough for this limit to exceed the time for which a busy machine suspends the
	// test process.
	outageCallDuration = 4 * time.Millisecond

	// maxOutageRepeats bounds the repeated runs of consultas. A consulta may run again if its worker is silent for too
	// long, as on a busy machine. The bound is the number of retries and hedged requests that the balancer allows at once.
	maxOutageRepeats = 20
)

// answerCounter counts the answers that workers have sent, by the body of the call.
type answerCounter struct {
	mu     sync.Mutex
	byBody map[string]int
}

func (c *answerCounter) add(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byBody[body]++
}

// The whole fleet is unavailable, then returns without any loaded function while 5,000 deferred invocations wait. All
// of them must be served, load orders must stay within the load budget throughout, and at least 95% of the foreground
// invocations made from the return of the fleet on must be served.
func TestFleetReturnsEmptyAfterOutage(t *testing.T) {
	settings := fakes.Settings()
	settings.LoadWindow = 10 * time.Second
	settings.LoadBurst = outageLoadBurst
	settings.LoadRatio = outageLoadRatio
	h := newHarness(t, fakes.NewCoreWithSettings(t, settings))
	ids := submitBacklog(h)
	require.Eventually(t, h.stalled, 10*time.Second, 5*time.Millisecond)
	callsDuringOutage := h.submissions.Load()
	assert.Less(t, callsDuringOutage, int64(200), "a stalled fleet must only be probed")

	answers := &answerCounter{byBody: map[string]int{}}
	workers := startEmptyWorkers(t, answers)
	h.core.UpdateEndpoints(fakes.Endpoints(workers...))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(50*time.Second))
	defer cancel()
	served, invoked, incomplete := 0, 0, ids
	for len(incomplete) > 0 && ctx.Err() == nil {
		if invokeDuringRecovery(ctx, h, invoked) {
			served++
		}
		invoked++
		requireLoadBudget(h, workers)
		incomplete = dropServed(h, incomplete)
	}
	require.Empty(t, incomplete)
	requireFewRepeats(t, answers)
	t.Logf("%d calls during the outage; then %d of %d synchronous invocations served", callsDuringOutage, served, invoked)
	assert.GreaterOrEqual(t, float64(served), 0.95*float64(invoked))
}

// submitBacklog submits the deferred invocations, alternately of both classes, and returns their IDs.
func submitBacklog(h *harness) []string {
	const submitters = 50
	ids := make([]string, outageInvocations)
	var submitting sync.WaitGroup
	for first := range submitters {
		submitting.Go(func() {
			for i := first; i < outageInvocations; i += submitters {
				class := []string{reserva, consulta}[i%2]
				request := h.newRequest(class, fmt.Sprintf("b%d", i))
				request.Function = fmt.Sprint("f", i%outageFunctions)
				ids[i] = h.submit(request)
			}
		})
	}
	submitting.Wait()
	return ids
}

// startEmptyWorkers starts three workers that have no function loaded and serve every call after outageCallDuration.
func startEmptyWorkers(t *testing.T, answers *answerCounter) []*fakes.Worker {
	t.Helper()
	var workers []*fakes.Worker
	for range 3 {
		worker := fakes.NewWorker(t)
		worker.UnloadAll()
		worker.Serve(func(c *fakes.Call) {
			time.Sleep(outageCallDuration)
			answers.add(c.Body)
			c.AnswerOK(c.Body)
		})
		workers = append(workers, worker)
	}
	return workers
}

// invokeDuringRecovery makes a foreground invocation and reports whether it was served.
func invokeDuringRecovery(ctx context.Context, h *harness, number int) bool {
	h.t.Helper()
	request := h.newRequest(consulta, fmt.Sprintf("now %d", number))
	request.Function = "f1"
	request.Expires = h.executor.clock.Now().Add(2 * time.Second)
	view, err := h.executor.Invoke(ctx, request)
	require.NoError(h.t, err)
	return view.Outcome == invocation.OutcomeServed
}

// requireLoadBudget checks that the workers have received at most outageLoadBurst load orders, plus outageLoadRatio for each
// call submitted so far, plus one.
func requireLoadBudget(h *harness, workers []*fakes.Worker) {
	h.t.Helper()
	loads := 0
	for _, worker := range workers {
		loads += len(worker.LoadOrderTimes())
	}
	budget := outageLoadBurst + outageLoadRatio*float64(h.submissions.Load()) + 1
	require.LessOrEqual(h.t, float64(loads), budget)
}

// dropServed removes completed invocations from the end of the list, up to the first that is incomplete, and returns the
// rest. A completed invocation must have been served.
func dropServed(h *harness, ids []string) []string {
	h.t.Helper()
	for len(ids) > 0 {
		last := len(ids) - 1
		view, err := h.executor.Wait(cancelledContext, "a", ids[last])
		require.NoError(h.t, err)
		if view.State != invocation.StateCompleted {
			break
		}
		require.Equal(h.t, invocation.OutcomeServed, view.Outcome, "%v", view.History)
		ids = ids[:last]
	}
	return ids
}

// requireFewRepeats checks that no deferred reserva was answered twice, and that the repeated answers to deferred
// consultas number at most maxOutageRepeats.
func requireFewRepeats(t *testing.T, answers *answerCounter) {
	t.Helper()
	answers.mu.Lock()
	defer answers.mu.Unlock()
	repeats := 0
	for body, count := range answers.byBody {
		number, deferred := strings.CutPrefix(body, "b")
		i, err := strconv.Atoi(number)
		if !deferred || err != nil {
			continue
		}
		isConsulta := i%2 == 1
		require.True(t, isConsulta || count == 1, "%s, a reserva, was answered %d times", body, count)
		repeats += count - 1
	}
	t.Log("repeated answers", repeats)
	require.LessOrEqual(t, repeats, maxOutageRepeats)
}
