package invocation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func flags(n int) (out [][]bool) {
	for i := range 1 << n {
		f := make([]bool, n)
		for b := range f {
			f[b] = i>>b&1 == 1
		}
		out = append(out, f)
	}
	return out
}

// Every state meets every event under every combination of what the guards look at. Each row of the table is taken by
// some, and what must hold of a life holds for all.
func TestEveryRowOfTheTable(t *testing.T) {
	taken := map[*Transition]int{}
	for _, f := range flags(10) {
		safe, deferred, late, again, dead, mayRun, sure, early, over, keyed := f[0], f[1], f[2], f[3], f[4], f[5], f[6],
			f[7], f[8], f[9]
		for state := StateWaiting; state <= StateCompleted; state++ {
			for event := EventSubmit; event <= lastEvent; event++ {
				o := Request{Tenant: "a", Idempotent: safe, Deferred: deferred, Expires: noon.Add(time.Hour)}
				if keyed {
					o.IdempotencyKey = "k"
				}
				k := New("t", o, noon)
				k.State, k.DeadLetter, k.MayHaveRun, k.NextRunAt = state, dead, mayRun, noon
				if state == StateCompleted {
					k.Outcome = OutcomeFailed
				}
				now := noon.Add(time.Minute)
				if early {
					k.NextRunAt = now.Add(time.Minute)
				}
				if over {
					now = k.Expires
				}
				fact := Input{Event: event, DeadlineExceeded: late, Confirmed: sure, Note: "seen by the desk", Successor: "h", Bytes: 7}
				if again {
					fact.RetryAt = now.Add(time.Second)
				}
				before := *k
				row, e, err := Step(k, fact, now)
				require.NotNil(t, row, "%v, %v", state, event)
				taken[row]++
				where := row.Name()
				if err != nil {
					require.Equal(t, before, *k, where)
					require.Zero(t, e, where)
					continue
				}
				ends := before.State != StateCompleted && k.State == StateCompleted
				require.Equal(t, ends, e.Has(EffectNotify), "told exactly when it ends: %s", where)
				require.Equal(t, ends, k.Outcome != before.Outcome, where)
				if !k.Ephemeral && (ends || k.State == StateRunning && before.State != StateRunning) {
					require.True(t, e.Has(EffectPersist), "on the disk first: %s", where)
				}
				if k.Ephemeral {
					require.False(t, e.Has(EffectPersist), where)
				}
				if before.State == StateRunning && !safe && k.State != StateRunning && event != EventRejected && event != EventServed {
					require.True(t, k.State == StateCompleted && k.MayHaveRun, "what may have run does not go again: %s", where)
				}
				if k.State == StateSubmitted {
					require.False(t, now.Before(k.NextRunAt) || !now.Before(k.Expires), where)
					require.Equal(t, before.Runs+1, k.Runs, where)
				}
				if k.State == StateWaiting && before.State != StateWaiting {
					require.True(t, e.Has(EffectSchedule), where)
				}
				if event == EventRedrive {
					require.True(t, dead && (safe || !mayRun || sure), where)
					require.Equal(t, []any{OutcomeFailed, "h"}, []any{k.Outcome, k.RedrivenAs}, where)
				}
				if ends {
					letter := deferred && k.Outcome != OutcomeServed && k.Outcome != OutcomeCancelled
					require.True(t, k.DeadLetter == letter || dead, where) // one that is dead while it is open: no life has that
				}
			}
		}
	}
	for i := range Transitions {
		assert.NotZero(t, taken[&Transitions[i]], "no test takes the row: %s", Transitions[i].Name())
	}
}

// Random lives beside a world that knows what really ran: a ticket that must not run twice never does.
func TestRandomLivesRunOnce(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		safe := r.IntN(2) == 0
		k := New("t", Request{Idempotent: safe, Deferred: r.IntN(4) > 0, Expires: noon.Add(time.Minute)}, noon)
		ran, told, written, now := 0, 0, false, noon
		for range 60 {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			f := Input{Event: EventSubmit + Event(r.IntN(int(lastEvent-EventSubmit))), DeadlineExceeded: r.IntN(4) == 0}
			if r.IntN(3) > 0 {
				f.RetryAt = now.Add(time.Second)
			}
			if f.Event == EventRejected && written && r.IntN(2) == 0 || f.Event == EventFailed && !written && !(safe && k.State == StateSubmitted) || f.Event == EventRedrive {
				continue // the core tells the truth of what may have run
			}
			if f.Event == EventRestart && k.State == StateSubmitted { // as the disk has it
				*k = k.Persisted()
			}
			was := k.State
			_, e, err := Step(k, f, now)
			if err != nil {
				continue
			}
			if k.State == StateRunning && was != StateRunning || safe && k.State == StateSubmitted && r.IntN(2) == 0 {
				written = true
				ran++
			}
			if k.State != StateRunning && k.State != StateSubmitted {
				written = false
			}
			if e.Has(EffectNotify) {
				told++
			}
		}
		if !safe {
			require.LessOrEqual(t, ran, 1+turnedAway(k), "seed %d: %v", seed, k.History)
		}
		require.LessOrEqual(t, told, 1, "seed %d", seed)
		require.LessOrEqual(t, len(k.History), MaxHistory)
	}
}

// turnedAway is in how many runs the ticket was marked and is known not to have run.
func turnedAway(k *Invocation) (n int) {
	for _, l := range k.History {
		if l.Event == EventRejected {
			n++
		}
	}
	return n
}
