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

// The parameters of the outage test.
const (
	outageInvocations = 5000
	outageFunctions   = 40
	outageLoadBurst   = 6
	outageLoadRatio   = 0.15

	// outageWork is how long a call takes. A worker that keeps silent for ten times the mean answer time is taken for lost: that is
	// to be longer than a busy machine holds up the process of the test.
	outageWork = 4 * time.Millisecond

	// maxOutageRepeats bounds the repeated runs of consultas. One may run again where its worker keeps silent, as on a
	// busy machine, and no more of them than the balancer allows itself at once.
	maxOutageRepeats = 20
)

// answerCounter counts the answered runs of each body.
type answerCounter struct {
	mu     sync.Mutex
	byBody map[string]int
}

func (c *answerCounter) add(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byBody[body]++
}

// The whole fleet is gone and comes back empty with 5,000 invocations waiting: all are served, no more loads are
// ordered than the load budget allows at any moment, and synchronous calls go on being served.
func TestFleetReturnsEmptyAfterOutage(t *testing.T) {
	settings := fakes.Settings()
	settings.LoadWindow = 10 * time.Second
	settings.LoadBurst = outageLoadBurst
	settings.LoadRatio = outageLoadRatio
	h := newHarness(t, fakes.NewCoreWithSettings(t, settings))
	ids := submitForOutage(h)
	require.Eventually(t, h.stalled, 10*time.Second, 5*time.Millisecond)
	submittedDuringOutage := h.submissions.Load()
	assert.Less(t, submittedDuringOutage, int64(200), "a stalled fleet is probed, not stormed")

	answers := &answerCounter{byBody: map[string]int{}}
	workers := startEmptyWorkers(t, answers)
	h.core.UpdateEndpoints(fakes.Endpoints(workers...))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(50*time.Second))
	defer cancel()
	served, invoked, incomplete := 0, 0, ids
	for len(incomplete) > 0 && ctx.Err() == nil {
		if invokeDuringOutage(ctx, h, invoked) {
			served++
		}
		invoked++
		requireLoadBudget(h, workers)
		incomplete = dropServed(h, incomplete)
	}
	require.Empty(t, incomplete)
	requireFewRepeats(t, answers)
	t.Logf("%d calls during the outage; then %d of %d synchronous calls served", submittedDuringOutage, served, invoked)
	assert.GreaterOrEqual(t, float64(served), 0.95*float64(invoked))
}

// submitForOutage submits the invocations, every second one a consulta, and returns their IDs.
func submitForOutage(h *harness) []string {
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

// startEmptyWorkers starts workers that have no function loaded.
func startEmptyWorkers(t *testing.T, answers *answerCounter) []*fakes.Worker {
	t.Helper()
	var workers []*fakes.Worker
	for range 3 {
		worker := fakes.NewWorker(t)
		worker.UnloadAll()
		worker.Serve(func(c *fakes.Call) {
			time.Sleep(outageWork)
			answers.add(c.Body)
			c.OK(c.Body)
		})
		workers = append(workers, worker)
	}
	return workers
}

// invokeDuringOutage makes a synchronous call and reports whether it was served.
func invokeDuringOutage(ctx context.Context, h *harness, number int) bool {
	h.t.Helper()
	request := h.newRequest(consulta, fmt.Sprintf("now %d", number))
	request.Function = "f1"
	request.Expires = h.executor.clock.Now().Add(2 * time.Second)
	view, err := h.executor.Invoke(ctx, request)
	require.NoError(h.t, err)
	return view.Outcome == invocation.OutcomeServed
}

func requireLoadBudget(h *harness, workers []*fakes.Worker) {
	h.t.Helper()
	loads := 0
	for _, worker := range workers {
		loads += len(worker.LoadOrderTimes())
	}
	budget := outageLoadBurst + outageLoadRatio*float64(h.submissions.Load()) + 1
	require.LessOrEqual(h.t, float64(loads), budget)
}

// dropServed removes the served invocations from the end of the list, up to one that has not completed.
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

// requireFewRepeats checks that no reserva ran twice and few consultas did.
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
	t.Log("repeats", repeats)
	require.LessOrEqual(t, repeats, maxOutageRepeats)
}
