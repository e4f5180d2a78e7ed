package store

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func fresh(t testing.TB, o Options) (*Store, string) {
	path := filepath.Join(t.TempDir(), "tickets.db")
	if o.MaxInvocations == 0 {
		o.MaxInvocations = 1 << 30
	}
	if o.Retention == 0 {
		o.Retention = time.Hour
	}
	s, err := Open(path, o)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	return s, path
}

func order(key string) invocation.Request {
	return invocation.Request{Tenant: "a", IdempotencyKey: key, Fingerprint: []byte{1}, Function: "book", Class: "reserva", Deferred: true,
		Expires: noon.Add(time.Hour), Body: []byte("slot")}
}

func create(t testing.TB, s *Store, id string, o invocation.Request) *invocation.Invocation {
	k := invocation.New(id, o, noon)
	found, err := s.Create(k, nil, noon)
	require.NoError(t, err)
	require.Nil(t, found)
	return k
}

func apply(t testing.TB, s *Store, id string, facts ...invocation.Input) (k *invocation.Invocation) {
	for _, f := range facts {
		var err error
		k, _, err = s.Apply(id, f, nil, noon.Add(time.Second))
		require.NoError(t, err, "%s, %v", id, f.Event)
	}
	return k
}

var (
	submit = invocation.Input{Event: invocation.EventSubmit}
	mark   = invocation.Input{Event: invocation.EventStart}
	broke  = invocation.Input{Event: invocation.EventFailed}
	away   = invocation.Input{Event: invocation.EventRejected, RetryAfter: 2 * time.Second}
)

// A refusal invites another try, which a device makes under the same key; until then it hears the refusal again.
func TestKeyIsFreeAgainOnceARefusalsTimeHasCome(t *testing.T) {
	s, _ := fresh(t, Options{MaxInvocations: 2})
	o := order("k")
	create(t, s, "t1", o)
	apply(t, s, "t1", submit, away)
	_, _, err := s.Apply("t1", invocation.Input{Event: invocation.EventServed}, nil, noon)
	assert.ErrorIs(t, err, invocation.ErrCompleted, "the first final answer wins")
	_, _, err = s.Apply("t1", mark, nil, noon)
	assert.ErrorIs(t, err, invocation.ErrCompleted, "what has ended does not run")
	found, err := s.Create(invocation.New("t2", o, noon), nil, noon.Add(time.Second))
	require.NoError(t, err)
	assert.Equal(t, "t1", found.ID)
	other := o
	other.Fingerprint = []byte{2}
	_, err = s.FindByKey(&other, noon)
	assert.ErrorIs(t, err, invocation.ErrKeyReused)
	found, err = s.Create(invocation.New("t2", o, noon), nil, noon.Add(4*time.Second))
	require.NoError(t, err)
	assert.Nil(t, found)
	_, err = s.Create(invocation.New("t3", order(""), noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrStoreFull)
}

// What a start finds after the process ended in each state.
func TestStatesOverARestart(t *testing.T) {
	s, path := fresh(t, Options{})
	for _, id := range []string{"waiting", "offered", "running", "ended"} {
		create(t, s, id, order(""))
	}
	apply(t, s, "offered", submit)
	apply(t, s, "running", submit, mark)
	apply(t, s, "ended", invocation.Input{Event: invocation.EventCancel})
	require.NoError(t, s.Close())
	s, err := Open(path, Options{Retention: time.Hour})
	require.NoError(t, err)
	defer s.Close()
	found := map[string]invocation.State{}
	require.NoError(t, s.ForEachIncomplete(func(k *invocation.Invocation) error { found[k.ID] = k.State; return nil }))
	assert.Equal(t, map[string]invocation.State{"waiting": invocation.StateWaiting, "offered": invocation.StateWaiting, "running": invocation.StateRunning}, found)
	body, err := s.Body("running")
	require.NoError(t, err)
	assert.Equal(t, "slot", string(body))
	u, err := s.Usage("a")
	require.NoError(t, err)
	assert.Equal(t, Usage{4, 16}, u)
	n, err := s.Verify()
	require.NoError(t, err)
	assert.Equal(t, 4, n)
}

func TestQuotasBoundOneTenantAndNotTheOthers(t *testing.T) {
	s, _ := fresh(t, Options{MaxPerTenant: 3, MaxBytesPerTenant: 10})
	create(t, s, "t1", order(""))
	create(t, s, "t2", order(""))
	_, err := s.Create(invocation.New("t3", order(""), noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, "12 bytes")
	o := order("")
	o.Body = nil
	create(t, s, "t3", o)
	_, err = s.Create(invocation.New("t4", o, noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, "4 tickets")
	o.Tenant = "b"
	create(t, s, "t4", o)
	apply(t, s, "t1", invocation.Input{Event: invocation.EventCancel})
	require.NoError(t, s.DeleteExpired(noon.Add(2*time.Hour)))
	create(t, s, "t5", order(""))
}

// Kept, expired, unknown: an ended ticket's answer stays for a while, the fact that there was one as long again.
func TestSweep(t *testing.T) {
	s, _ := fresh(t, Options{DeadRetention: 3 * time.Hour})
	for i := range 600 {
		id := fmt.Sprintf("t%03d", i)
		create(t, s, id, order(id))
		apply(t, s, id, invocation.Input{Event: invocation.EventCancel})
	}
	create(t, s, "open", order(""))
	create(t, s, "dead", order("d"))
	apply(t, s, "dead", submit, mark, broke)
	after := func(d time.Duration) { require.NoError(t, s.DeleteExpired(noon.Add(d))) }
	after(time.Hour)
	k, err := s.Get("t007")
	require.NoError(t, err)
	assert.Equal(t, invocation.OutcomeCancelled, k.Outcome)
	after(2 * time.Hour)
	k, err = s.Get("t007")
	assert.ErrorIs(t, err, invocation.ErrExpired)
	assert.Equal(t, "a", k.Tenant)
	found, err := s.FindByKey(new(order("t007")), noon)
	require.NoError(t, err)
	assert.Nil(t, found, "its key is free")
	_, err = s.Get("dead")
	require.NoError(t, err)
	after(4 * time.Hour)
	_, err = s.Get("t007")
	assert.ErrorIs(t, err, invocation.ErrNotFound)
	_, err = s.Get("dead")
	assert.ErrorIs(t, err, invocation.ErrExpired)
	_, err = s.Get("open")
	assert.NoError(t, err)
	u, err := s.Usage("")
	require.NoError(t, err)
	assert.Equal(t, Usage{1, 4}, u)
}

func TestDeadLetters(t *testing.T) {
	s, _ := fresh(t, Options{})
	for _, id := range []string{"ran", "late", "asked", "given"} {
		create(t, s, id, order("key of "+id))
	}
	apply(t, s, "ran", submit, mark, broke)
	apply(t, s, "asked", submit, away)
	apply(t, s, "given", invocation.Input{Event: invocation.EventCancel})
	_, _, err := s.Apply("late", invocation.Input{Event: invocation.EventExpire}, nil, noon.Add(2*time.Hour))
	require.NoError(t, err)
	letters, err := s.List(Filter{DeadLetters: true, Tenant: "a"})
	require.NoError(t, err)
	assert.Len(t, letters, 3)
	now := noon.Add(3 * time.Hour)
	_, err = s.Redrive("ran", "n1", false, "we think it is fine", now)
	assert.ErrorIs(t, err, invocation.ErrNotConfirmed)
	_, err = s.Redrive("ran", "n1", true, "", now)
	assert.ErrorIs(t, err, invocation.ErrNotConfirmed, "sure, but without a reason")
	_, err = s.Redrive("given", "n1", true, "why not", now)
	assert.ErrorIs(t, err, invocation.ErrNotDeadLetter)
	heir, err := s.Redrive("ran", "n1", true, "the book of the day has no such slot", now)
	require.NoError(t, err)
	assert.Equal(t, []any{"ran", invocation.StateWaiting, now.Add(time.Hour), "slot"}, []any{heir.RedriveOf, heir.State, heir.Expires, string(heir.Body)})
	old, err := s.Get("ran")
	require.NoError(t, err)
	assert.Equal(t, []any{invocation.OutcomeFailed, "n1"}, []any{old.Outcome, old.RedrivenAs}, "its own answer stays")
	found, err := s.FindByKey(new(order("key of ran")), now)
	require.NoError(t, err)
	assert.Equal(t, "n1", found.ID, "its owner's late repeat meets the new one")
	_, err = s.Redrive("ran", "n2", true, "once more", now)
	assert.ErrorIs(t, err, invocation.ErrNotDeadLetter)
	// The owner of a refused one has asked again by himself: two of them must not run.
	_, err = s.Create(invocation.New("n3", order("key of asked"), now), nil, now)
	require.NoError(t, err)
	_, err = s.Redrive("asked", "n4", false, "", now)
	assert.ErrorIs(t, err, invocation.ErrSuperseded)
	old, err = s.Get("asked")
	require.NoError(t, err)
	assert.Empty(t, old.RedrivenAs, "nothing of the attempt stays")
	n, err := s.Purge([]string{"late"}, now, now)
	require.NoError(t, err)
	assert.Equal(t, 1, n)
	_, err = s.Purge([]string{"n1"}, now, now)
	assert.ErrorIs(t, err, invocation.ErrNotDeadLetter)
	n, err = s.Purge(nil, now, now)
	require.NoError(t, err)
	assert.Equal(t, 2, n)
	require.NoError(t, s.DeleteExpired(now.Add(48*time.Hour)))
	_, err = s.Verify()
	assert.NoError(t, err)
}

// A file of the first format: what is open goes on, what has ended stays to be asked for, what may have run does not
// run again; the old file is left beside the new one.
func TestMigration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tickets.db")
	db, err := bolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(func(tx *bolt.Tx) error {
		b := map[string]*bolt.Bucket{}
		for _, name := range []string{"tickets", "keys", "ends", "expired"} {
			b[name], err = tx.CreateBucket([]byte(name))
			require.NoError(t, err)
		}
		put := func(id, more string) {
			require.True(t, json.Valid([]byte(more)), more)
			require.NoError(t, b["tickets"].Put([]byte(id), []byte(more)))
			require.NoError(t, b["keys"].Put([]byte("a\x00"+id), []byte(id)))
		}
		const common = `"Tenant":"a","Name":"book","Body":"c2xvdA==","Deadline":"2026-03-02T13:00:00Z","Created":"2026-03-02T12:00:00Z"`
		put("open", `{"ID":"open","Key":"open",`+common+`}`)
		put("ran", `{"ID":"ran","Key":"ran","MayRun":true,`+common+`}`)
		put("done", `{"ID":"done","Key":"done","End":"served","Ended":"2026-03-02T12:00:01Z","Result":"b2s=",`+common+`}`)
		return b["expired"].Put([]byte("old"), append(timeKey(noon.Add(time.Hour), ""), "a"...))
	}))
	require.NoError(t, db.Close())
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	for range 2 { // the second start finds nothing to do
		s, err := Open(path, Options{Retention: time.Hour})
		require.NoError(t, err)
		found := map[string]invocation.State{}
		require.NoError(t, s.ForEachIncomplete(func(k *invocation.Invocation) error { found[k.ID] = k.State; return nil }))
		assert.Equal(t, map[string]invocation.State{"open": invocation.StateWaiting, "ran": invocation.StateRunning}, found)
		done, err := s.FindByKey(&invocation.Request{Tenant: "a", IdempotencyKey: "done"}, noon)
		require.NoError(t, err)
		assert.Equal(t, invocation.OutcomeServed, done.Outcome)
		result, err := s.Result("done")
		require.NoError(t, err)
		assert.Equal(t, "ok", string(result))
		_, err = s.Get("old")
		assert.ErrorIs(t, err, invocation.ErrExpired)
		_, err = s.Verify()
		assert.NoError(t, err)
		require.NoError(t, s.Close())
	}
	after, err := os.ReadFile(path + ".v1")
	require.NoError(t, err)
	assert.Equal(t, before, after)
	require.NoError(t, os.Rename(path, path+".v2")) // as if it had been ended between the two names
	require.NoError(t, os.RemoveAll(durable.LogDir(path)))
	s, err := Open(path, Options{})
	require.NoError(t, err)
	defer s.Close()
	u, err := s.Usage("a")
	require.NoError(t, err)
	assert.Equal(t, int64(3), u.Invocations)
}

// The latest time known does not go back over a restart, although the machine's clock does.
func TestTimeDoesNotGoBack(t *testing.T) {
	s, path := fresh(t, Options{})
	_, err := s.AdvanceClock(noon)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	s, err = Open(path, Options{})
	require.NoError(t, err)
	defer s.Close()
	latest, err := s.AdvanceClock(noon.Add(-time.Hour))
	require.NoError(t, err)
	assert.True(t, latest.Equal(noon), latest)
}

// BenchmarkLives is the whole life of a deferred reserva: on record, marked, answered. 64 at once.
func BenchmarkLives(b *testing.B) {
	s, _ := fresh(b, Options{})
	lives := make(chan int, b.N)
	for i := range b.N {
		lives <- i
	}
	close(lives)
	var work sync.WaitGroup
	b.ResetTimer()
	for range 64 {
		work.Go(func() {
			for i := range lives {
				id := fmt.Sprintf("%026d", i*7919%1000003)
				create(b, s, id, order(id))
				apply(b, s, id, submit, mark, invocation.Input{Event: invocation.EventServed})
			}
		})
	}
	work.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lives/s")
}

// BenchmarkOneReserva is what the store adds to a synchronous reserva of one caller: marked, then answered. Beside it in
// the same run, two bare writes and syncs of as many bytes.
func BenchmarkOneReserva(b *testing.B) {
	s, path := fresh(b, Options{})
	f, err := os.Create(filepath.Join(filepath.Dir(path), "bare"))
	require.NoError(b, err)
	defer f.Close()
	bytes := make([]byte, 400)
	_, err = f.Write(make([]byte, 8<<20))
	require.NoError(b, err)
	require.NoError(b, f.Sync())
	var mine, bare time.Duration
	for i := range b.N {
		o := order(fmt.Sprint("k", i))
		o.Deferred = false
		t := invocation.New(fmt.Sprintf("%026d", i), o, noon)
		begin := time.Now()
		_, _, err := invocation.Step(t, mark, noon)
		require.NoError(b, err)
		_, err = s.Create(t, nil, noon)
		require.NoError(b, err)
		_, _, err = s.Apply(t.ID, invocation.Input{Event: invocation.EventServed}, []byte("booked"), noon)
		require.NoError(b, err)
		mine += time.Since(begin)
		begin = time.Now()
		for n := range 2 {
			_, err = f.WriteAt(bytes, int64((2*i+n)%10000*400))
			require.NoError(b, err)
			require.NoError(b, syscall.Fdatasync(int(f.Fd())))
		}
		bare += time.Since(begin)
	}
	b.ReportMetric(float64(mine.Microseconds())/float64(b.N), "us/reserva")
	b.ReportMetric(float64(bare.Microseconds())/float64(b.N), "us/bare")
	b.ReportMetric(float64(mine)/float64(bare), "times-bare")
}
