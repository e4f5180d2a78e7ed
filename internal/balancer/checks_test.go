package balancer

import "time"

// checkAction carries out an action, and fails the test if the action breaks a rule. The messages number the rules.
// Rule 1: each request gets one final answer, in time. Rule 2: no attempt may run a request twice where that is
// forbidden. Rule 3: nothing is started at a worker that drains or is removed. Rule 4: slow start, which separate
// tests check. Rule 5: the load budget.
func (f *testFleet) checkAction(action Action) {
	f.t.Helper()
	switch a := action.(type) {
	case Send:
		f.checkSend(a)
	case Reject:
		f.checkFinalAnswer(a.ID)
		f.checkReject(a.ID)
	case Fail:
		f.checkFinalAnswer(a.ID)
		f.failed[a.ID] = true
	case Load:
		f.checkLoad(a)
	case Unload:
		f.unloads = append(f.unloads, a)
	case Cancel:
		if r := f.open[a.ID]; !f.settings.CanCancel || r == nil || a.Attempt >= len(r.sends) {
			f.t.Fatal("cancel is not allowed, or names an attempt that was never sent")
		}
		f.cancelled++
	case SetTimer:
		f.timers = append(f.timers, pendingTimer{id: a.TimerID, due: f.now + a.After})
	}
}

func (f *testFleet) checkSend(a Send) {
	f.t.Helper()
	r := f.open[a.ID]
	if r == nil || r.answered {
		f.t.Fatalf("rule 1: send for request %d, which is unknown or answered", a.ID)
	}
	if f.state[a.Worker] != Ready {
		f.t.Fatalf("rule 3: send to worker %s, which drains or is removed", a.Worker)
	}
	if _, known := f.state[a.Worker]; !known {
		f.t.Fatalf("rule 3: send to worker %s, which is not in the endpoint list", a.Worker)
	}
	if len(r.sends) >= f.settings.MaxAttempts {
		f.t.Fatalf("more attempts than allowed for request %d", a.ID)
	}
	for _, previous := range r.sends {
		f.checkRepeat(a, r, previous)
	}
	due := r.deadline
	if a.Timeout > 0 {
		due = min(due, f.now+a.Timeout)
	}
	r.sends = append(r.sends, &sentAttempt{worker: a.Worker, sentAt: f.now, due: due, pending: true})
	f.sent = append(f.sent, a)
	f.sentTo[a.Worker]++
}

// checkRepeat checks a send against an earlier attempt of the same request.
func (f *testFleet) checkRepeat(a Send, r *testRequest, previous *sentAttempt) {
	f.t.Helper()
	if previous.pending && !f.settings.Hedging {
		f.t.Fatalf("rule 2: two attempts of request %d in flight without hedging", a.ID)
	}
	if !previous.mayRun() {
		return
	}
	switch r.class.Idempotency {
	case NotIdempotent:
		f.t.Fatalf("rule 2: request %d may have run and is not idempotent, but was sent again", a.ID)
	case IdempotentWithKey:
		if f.now-previous.sentAt >= r.class.DedupWindow {
			f.t.Fatalf("rule 2: request %d was sent again after its dedup window", a.ID)
		}
		v, w := f.workers[previous.worker], f.workers[a.Worker]
		otherCell := r.class.DedupScope == DedupCell && v.Cell != w.Cell
		otherZone := r.class.DedupScope == DedupZone && v.Zone != w.Zone
		if otherCell || otherZone {
			f.t.Fatalf("rule 2: request %d was sent again outside its dedup scope", a.ID)
		}
	}
}

func (f *testFleet) checkFinalAnswer(id RequestID) {
	f.t.Helper()
	r := f.open[id]
	if r == nil || r.answered {
		f.t.Fatalf("rule 1: final answer for request %d, which is unknown or already answered", id)
	}
	r.answered = true
	if f.now > r.deadline+f.settings.AnswerGrace {
		f.t.Fatalf("rule 1: final answer for request %d after its deadline and AnswerGrace", id)
	}
}

func (f *testFleet) checkReject(id RequestID) {
	f.t.Helper()
	f.rejected[id] = true
	class := f.open[id].class
	deduplicated := class.Idempotency == IdempotentWithKey && class.DedupScope == DedupFleet
	harmless := class.Idempotency == Idempotent || deduplicated
	for _, s := range f.open[id].sends {
		if s.mayRun() && !harmless {
			f.t.Fatalf("rule 2: request %d was rejected although it may have run and a retry is not harmless", id)
		}
	}
}

func (f *testFleet) checkLoad(a Load) {
	f.t.Helper()
	if a.Copies > 0 {
		if f.state[a.Worker] != Ready {
			f.t.Fatalf("rule 3: load order for worker %s, which drains or is removed", a.Worker)
		}
		f.checkLoadBudget()
	}
	if !f.settings.LoadOrders || a.Function == "" {
		f.t.Fatal("load order although load orders are not allowed, or without a function")
	}
	f.pendingLoads = append(f.pendingLoads, a)
	f.loads = append(f.loads, a)
}

// checkLoadBudget counts a load order that is sent now, and checks the load budget in the window that ends now.
func (f *testFleet) checkLoadBudget() {
	f.t.Helper()
	if f.settings.LoadWindow == 0 {
		return
	}
	f.loadTimes = append(f.loadTimes, f.now)
	since := f.now - f.settings.LoadWindow
	budget := f.settings.LoadBurst + f.settings.LoadRatio*float64(countAfter(f.arrivals, since))
	if float64(countAfter(f.loadTimes, since)) > budget {
		f.t.Fatal("rule 5: more load orders than the load budget allows")
	}
}

// countAfter returns how many of the times are later than since.
func countAfter(times []time.Duration, since time.Duration) int {
	count := 0
	for _, t := range times {
		if t > since {
			count++
		}
	}
	return count
}
