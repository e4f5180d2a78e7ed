package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// points are the moments at which the process is killed: before and after each commit of the store, and before and
// after the first byte to a worker.
var points = []string{"log-before-write", "log-before-sync", "log-after-sync", "created", "marked", "frame-before-write",
	"frame-after-write", "run-ended", "before-end", "after-end", "move-before", "move-after"}

// worldOfKills is what outlives the process: the worker, the devices and what they know.
type worldOfKills struct {
	t       *testing.T
	mu      sync.Mutex
	ran     map[string]int // calls by body that the worker took and did not turn away
	answers map[string]map[string]bool
	tickets map[string]string // by body: where to ask
}

// serve answers calls: most are served, some turned away, some never answered or cut off.
func (w *worldOfKills) serve(worker *fakes.Worker) {
	r := rand.New(rand.NewPCG(5, 5))
	for k := range worker.Calls {
		n := r.IntN(20)
		if n < 3 {
			k.Answer(67, "", "")
			continue
		}
		w.mu.Lock()
		w.ran[k.Body]++
		w.mu.Unlock()
		switch {
		case n == 3:
			k.ResetConn()
		case n > 4: // else it is never answered
			k.OK(strconv.Quote("done " + strings.Trim(k.Body, `"`)))
		}
	}
}

func (w *worldOfKills) heard(body, answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answers[body] == nil {
		w.answers[body] = map[string]bool{}
	}
	w.answers[body][answer] = true
}

// device files one order, again and again under its key until the program has it on record.
func (w *worldOfKills) device(ctx context.Context, c *http.Client, url, function, body string, async bool) {
	for ctx.Err() == nil {
		q, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/functions/"+function+"/invocations", strings.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set("Idempotency-Key", body)
		if async {
			q.Header.Set("Prefer", "respond-async")
		}
		a, err := c.Do(q)
		if err != nil {
			time.Sleep(2 * time.Millisecond) // not up again yet: this only paces the repeats
			continue
		}
		text, err := io.ReadAll(a.Body)
		a.Body.Close()
		where := a.Header.Get("Location")
		if where == "" {
			where = a.Header.Get("Content-Location")
		}
		switch {
		case err != nil, a.StatusCode == 503: // trying again does no harm
			time.Sleep(2 * time.Millisecond)
			continue
		case a.StatusCode == 202, a.StatusCode == 200, where != "":
			w.mu.Lock()
			w.tickets[body] = where
			w.mu.Unlock()
		}
		if a.StatusCode != 202 {
			w.heard(body, fmt.Sprint(a.StatusCode, " ", string(text)))
		}
		return
	}
}

// The real process is killed at every step of a ticket's life, and started again on its store. No reserva runs twice,
// every order that was promised has exactly one final answer, and none is forgotten.
//
// KITEFALL_KILLS sets how often; the figures are printed. The long run is outside CI.
func TestKilledAtEveryStep(t *testing.T) {
	kills := 24
	if text := os.Getenv("KITEFALL_KILLS"); text != "" {
		var err error
		kills, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "kitefall")
	out, err := exec.Command("go", "build", "-tags", "failpoint", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	ca, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
	w := &worldOfKills{t: t, ran: map[string]int{}, answers: map[string]map[string]bool{}, tickets: map[string]string{}}
	go w.serve(worker)
	addr, path := free(t), filepath.Join(dir, "config.json")
	configure(t, path, addr, "127.0.0.1:1", worker)
	invokeFile, url := edge(t, ca)
	book, err := os.ReadFile(invokeFile)
	require.NoError(t, err)
	look := strings.Replace(string(book[strings.Index(string(book), "[functions.book]"):]), "functions.book", "functions.look", 1)
	look = strings.NewReplacer("reserva", "consulta", "7f3a9c21e0b4d655", "0000007c55d20a01").Replace(look)
	more := "[deferred]\nbackoff = \"10ms\"\nmost_backoff = \"100ms\"\nretry_per_second = 200.0\nmost_runs = 100\n"
	require.NoError(t, os.WriteFile(invokeFile, []byte(string(book)+look+more), 0o600))
	client := ca.Client(fakes.Domain + "/desk/a")
	client.Transport.(*http.Transport).DisableKeepAlives = true

	r, filed, byPoint := rand.New(rand.NewPCG(uint64(kills), 9)), 0, map[string]int{}
	start := func(point string) (*exec.Cmd, chan error) {
		p := exec.Command(program, "-invoke", invokeFile)
		p.Env = append(os.Environ(), "RELAY_CONFIG="+path, "KITEFALL_FAILPOINT="+point)
		if log := os.Getenv("KITEFALL_KILL_LOG"); log != "" {
			f, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
			require.NoError(t, err)
			defer f.Close()
			p.Stderr = f
		}
		require.NoError(t, p.Start())
		ended := make(chan error, 1)
		go func() { ended <- p.Wait() }()
		return p, ended
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Duration(kills)*3*time.Second+time.Minute))
	defer cancel()
	var devices sync.WaitGroup
	for n := range kills {
		point := points[n%len(points)]
		p, ended := start(fmt.Sprintf("%s:%d", point, 1+r.IntN(6)))
		for range 2 + r.IntN(4) {
			filed++
			function, body, async := "book", fmt.Sprintf(`"b%d"`, filed), r.IntN(3) > 0
			if r.IntN(3) == 0 {
				function, body = "look", fmt.Sprintf(`"l%d"`, filed)
			}
			devices.Go(func() { w.device(ctx, client, url, function, body, async) })
		}
		select {
		case <-ended: // the kill at its point
			require.True(t, p.ProcessState.Sys().(syscall.WaitStatus).Signaled(), "it ended by itself: %v", p.ProcessState)
			byPoint[point]++
		case <-time.After(1500 * time.Millisecond):
			require.NoError(t, p.Process.Kill()) // not reached: killed wherever it is
			<-ended
			byPoint["anywhere"]++
		}
	}
	p, ended := start("")
	devices.Wait()
	require.NoError(t, ctx.Err(), "all orders were taken")
	final, twice, served := 0, 0, 0
	for body, where := range w.tickets {
		require.NotEmpty(t, where, body)
		require.Eventually(t, func() bool {
			q, _ := http.NewRequestWithContext(ctx, http.MethodGet, url+where, nil)
			q.Header.Set("Prefer", "wait=5")
			a, err := client.Do(q)
			if err != nil {
				return false
			}
			text, err := io.ReadAll(a.Body)
			a.Body.Close()
			require.NotEqual(t, 404, a.StatusCode, "%s is forgotten", body)
			if err != nil || a.StatusCode == 202 {
				return false
			}
			w.heard(body, fmt.Sprint(a.StatusCode, " ", string(text)))
			if a.StatusCode == 200 {
				served++
				assert.Contains(t, string(text), strings.Trim(body, `"`), "no answer that no worker made")
			}
			return true
		}, 30*time.Second, time.Millisecond, body)
		final++
	}
	for body, n := range w.ran {
		if strings.HasPrefix(body, `"b`) && n > 1 {
			twice++
			t.Errorf("reserva %s ran %d times", body, n)
		}
	}
	for body, told := range w.answers {
		assert.Len(t, told, 1, "%s has two final answers", body)
	}
	t.Logf("%d kills (%v), %d orders, %d tickets with one final answer each (%d served), %d ran twice", kills, byPoint,
		filed, final, served, twice)
	assert.Equal(t, filed, final)
	require.NoError(t, p.Process.Signal(os.Interrupt))
	assert.NoError(t, <-ended)
}
