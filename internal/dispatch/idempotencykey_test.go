package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/fakes"
)

// keyedSettings are settings with the class cambio, whose repeats the workers of one cell drop within window.
func keyedSettings(window time.Duration) balancer.Settings {
	settings := fakes.Settings()
	keyed := settings.Classes[0]
	keyed.Name, keyed.Idempotency, keyed.DedupScope, keyed.DedupWindow = "cambio", balancer.IdempotentWithKey, balancer.DedupCell, window
	settings.Classes = append(settings.Classes, keyed)
	return settings
}

// Guards against calls of a keyed class that run twice because workers do not get their key (review case 6): the connection is reset
// under a call that may have run. The call is sent again only with its key, to a worker that drops the repeat.
func TestKeyedCallIsRepeatedOnlyWhereTheRepeatIsDropped(t *testing.T) {
	const key = "5c0f6e1a=2b3d"
	for name, test := range map[string]struct {
		key       string
		otherCell int           // cell of the other worker
		window    time.Duration // in which workers drop repeats
		resetAt   time.Duration // after the arrival of the first attempt
		repeated  bool
	}{
		"same cell, in the window": {key, 1, 3 * time.Second, 0, true},
		"no key":                   {"", 1, 3 * time.Second, 0, false},
		"another cell":             {key, 2, 3 * time.Second, 0, false},
		"after the window":         {key, 1, 50 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := fakes.NewWorker(t), fakes.NewWorker(t)
			core := startCore(t, keyedSettings(test.window))
			workers := fakes.Endpoints(a, b)
			for i := range workers.Endpoints {
				workers.Endpoints[i].Cell = 1
			}
			answers := make(chan call.Answer, 2)
			submitted := newCall(1, "change", func(answer call.Answer) { answers <- answer })
			submitted.Class, submitted.IdempotencyKey = "cambio", test.key
			core.UpdateEndpoints(workers)
			submit(t, core, submitted)
			first, other := fakes.FirstCallAtEither(a, b)
			for i := range workers.Endpoints {
				if workers.Endpoints[i].Addr == other.Addr {
					workers.Endpoints[i].Cell = test.otherCell
				}
			}
			core.UpdateEndpoints(workers)
			time.Sleep(test.resetAt)
			first.ResetConn()
			if !test.repeated {
				assert.Equal(t, call.Answer{Outcome: call.Failed, MayHaveRun: true}, fakes.Receive(t, answers))
				assert.Equal(t, test.key != "", strings.HasSuffix(first.Fields, ",replay="+test.key))
				assert.Equal(t, 1, a.CallCount("change")+b.CallCount("change"))
				return
			}
			second := other.NextCall()
			second.AnswerOK("done")
			assert.Equal(t, call.Served, fakes.Receive(t, answers).Outcome)
			for _, attempt := range []*fakes.Call{first, second} {
				assert.True(t, strings.HasSuffix(attempt.Fields, ",replay="+key), attempt.Fields)
			}
		})
	}
}
