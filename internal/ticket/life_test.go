package ticket

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
	taken := map[*Row]int{}
	for _, f := range flags(10) {
		safe, deferred, late, again, dead, mayRun, sure, early, over, keyed := f[0], f[1], f[2], f[3], f[4], f[5], f[6],
			f[7], f[8], f[9]
		for state := Waiting; state <= Ended; state++ {
			for event := Offer; event <= lastEvent; event++ {
				o := Order{Tenant: "a", Safe: safe, Deferred: deferred, Expires: noon.Add(time.Hour)}
				if keyed {
					o.Key = "k"
				}
				k := New("t", o, noon)
				k.State, k.Dead, k.MayHaveRun, k.Due = state, dead, mayRun, noon
				if state == Ended {
					k.End = Failed
				}
				now := noon.Add(time.Minute)
				if early {
					k.Due = now.Add(time.Minute)
				}
				if over {
					now = k.Expires
				}
				fact := Fact{Event: event, Late: late, Sure: sure, Note: "seen by the desk", Heir: "h", Bytes: 7}
				if again {
					fact.Again = now.Add(time.Second)
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
				ends := before.State != Ended && k.State == Ended
				require.Equal(t, ends, e&Tell != 0, "told exactly when it ends: %s", where)
				require.Equal(t, ends, k.End != before.End, where)
				if !k.Fleeting && (ends || k.State == Running && before.State != Running) {
					require.NotZero(t, e&Store, "on the disk first: %s", where)
				}
				if k.Fleeting {
					require.Zero(t, e&Store, where)
				}
				if before.State == Running && !safe && k.State != Running && event != Turned && event != Answered {
					require.True(t, k.State == Ended && k.MayHaveRun, "what may have run does not go again: %s", where)
				}
				if k.State == Offered {
					require.False(t, now.Before(k.Due) || !now.Before(k.Expires), where)
					require.Equal(t, before.Runs+1, k.Runs, where)
				}
				if k.State == Waiting && before.State != Waiting {
					require.NotZero(t, e&Schedule, where)
				}
				if event == Redrive {
					require.True(t, dead && (safe || !mayRun || sure), where)
					require.Equal(t, []any{Failed, "h"}, []any{k.End, k.Heir}, where)
				}
				if ends {
					letter := deferred && k.End != Served && k.End != GivenUp
					require.True(t, k.Dead == letter || dead, where) // one that is dead while it is open: no life has that
				}
			}
		}
	}
	for i := range Table {
		assert.NotZero(t, taken[&Table[i]], "no test takes the row: %s", Table[i].Name())
	}
}

// Random lives beside a world that knows what really ran: a ticket that must not run twice never does.
func TestRandomLivesRunOnce(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		safe := r.IntN(2) == 0
		k := New("t", Order{Safe: safe, Deferred: r.IntN(4) > 0, Expires: noon.Add(time.Minute)}, noon)
		ran, told, written, now := 0, 0, false, noon
		for range 60 {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			f := Fact{Event: Offer + Event(r.IntN(int(lastEvent-Offer))), Late: r.IntN(4) == 0}
			if r.IntN(3) > 0 {
				f.Again = now.Add(time.Second)
			}
			if f.Event == Turned && written && r.IntN(2) == 0 || f.Event == Broke && !written && !(safe && k.State == Offered) || f.Event == Redrive {
				continue // the core tells the truth of what may have run
			}
			if f.Event == Restart && k.State == Offered { // as the disk has it
				*k = k.OnRecord()
			}
			was := k.State
			_, e, err := Step(k, f, now)
			if err != nil {
				continue
			}
			if k.State == Running && was != Running || safe && k.State == Offered && r.IntN(2) == 0 {
				written = true
				ran++
			}
			if k.State != Running && k.State != Offered {
				written = false
			}
			if e&Tell != 0 {
				told++
			}
		}
		if !safe {
			require.LessOrEqual(t, ran, 1+turnedAway(k), "seed %d: %v", seed, k.History)
		}
		require.LessOrEqual(t, told, 1, "seed %d", seed)
		require.LessOrEqual(t, len(k.History), MostHistory)
	}
}

// turnedAway is in how many runs the ticket was marked and is known not to have run.
func turnedAway(k *Ticket) (n int) {
	for _, l := range k.History {
		if l.Event == Turned {
			n++
		}
	}
	return n
}
