package balancer

import "time"

// checkAction fails the test if an action breaks a rule, and carries it out.
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
			f.t.Fatal("cancel of what was never sent, or not allowed")
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
		f.t.Fatalf("rule 1: send for %d, which is over", a.ID)
	}
	if f.state[a.Worker] != Ready {
		f.t.Fatalf("rule 3: send to %s, which drains or is gone", a.Worker)
	}
	if _, known := f.state[a.Worker]; !known {
		f.t.Fatalf("rule 3: send to %s, which is not listed", a.Worker)
	}
	if len(r.sends) >= f.settings.MaxAttempts {
		f.t.Fatalf("more attempts than allowed for %d", a.ID)
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
		f.t.Fatalf("rule 2: two attempts of %d at a time", a.ID)
	}
	if !previous.mayRun() {
		return
	}
	switch r.class.Idempotency {
	case NotIdempotent:
		f.t.Fatalf("rule 2: unsafe %d sent again", a.ID)
	case IdempotentWithKey:
		if f.now-previous.sentAt >= r.class.DedupWindow {
			f.t.Fatalf("rule 2: keyed %d sent again after its window", a.ID)
		}
		v, w := f.workers[previous.worker], f.workers[a.Worker]
		otherCell := r.class.DedupScope == DedupCell && v.Cell != w.Cell
		otherZone := r.class.DedupScope == DedupZone && v.Zone != w.Zone
		if otherCell || otherZone {
			f.t.Fatalf("rule 2: keyed %d sent outside its dedup scope", a.ID)
		}
	}
}

func (f *testFleet) checkFinalAnswer(id RequestID) {
	f.t.Helper()
	r := f.open[id]
	if r == nil || r.answered {
		f.t.Fatalf("rule 1: second final answer for %d", id)
	}
	r.answered = true
	if f.now > r.deadline+f.settings.AnswerGrace {
		f.t.Fatalf("rule 1: answer to %d after its deadline", id)
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
			f.t.Fatalf("rule 2: %d rejected though it may have run", id)
		}
	}
}

func (f *testFleet) checkLoad(a Load) {
	f.t.Helper()
	if a.Copies > 0 {
		if f.state[a.Worker] != Ready {
			f.t.Fatalf("rule 3: load at %s, which drains or is gone", a.Worker)
		}
		f.checkLoadBudget()
	}
	if !f.settings.LoadOrders || a.Function == "" {
		f.t.Fatal("order that is not allowed")
	}
	f.pendingLoads = append(f.pendingLoads, a)
	f.loads = append(f.loads, a)
}

// checkLoadBudget counts an order that is sent now.
func (f *testFleet) checkLoadBudget() {
	f.t.Helper()
	if f.settings.LoadWindow == 0 {
		return
	}
	f.loadTimes = append(f.loadTimes, f.now)
	since := f.now - f.settings.LoadWindow
	budget := f.settings.LoadBurst + f.settings.LoadRatio*float64(countAfter(f.arrivals, since))
	if float64(countAfter(f.loadTimes, since)) > budget {
		f.t.Fatal("rule 5: more orders than the load budget")
	}
}

// countAfter counts the times after since.
func countAfter(times []time.Duration, since time.Duration) int {
	count := 0
	for _, t := range times {
		if t > since {
			count++
		}
	}
	return count
}
