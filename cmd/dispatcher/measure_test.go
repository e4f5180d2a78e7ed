package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// bareSync is the median time of a write and sync of so many bytes to a file that is there already.
func bareSync(t *testing.T, size int) time.Duration {
	f, err := os.Create(filepath.Join(t.TempDir(), "bare"))
	require.NoError(t, err)
	defer f.Close()
	_, err = f.Write(make([]byte, 4<<20))
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	var took []time.Duration
	for i := range 1000 {
		begin := time.Now()
		_, err := f.WriteAt(make([]byte, size), int64(i*size))
		require.NoError(t, err)
		require.NoError(t, syscall.Fdatasync(int(f.Fd())))
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// Measures programs side by side over HTTPS, with a worker that answers at once: one client's synchronous calls, and
// 64 clients at once. Outside CI: KITEFALL_MEASURE names the programs, separated by colons; the last is the present one.
func TestMeasureProgramsSideBySide(t *testing.T) {
	programs := os.Getenv("KITEFALL_MEASURE")
	if programs == "" {
		t.Skip("KITEFALL_MEASURE names no programs")
	}
	t.Logf("bare sync of 500 bytes: %v", bareSync(t, 500))
	for turn := range 3 {
		for _, program := range strings.Split(programs, ":") {
			measure(t, turn, program)
		}
	}
}

func measure(t *testing.T, turn int, program string) {
	ca, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
	worker.Serve(func(k *fakes.Call) { k.OK(`"done"`) })
	addr, path := free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, "127.0.0.1:1", worker)
	invokeFile, url := edge(t, ca)
	book, err := os.ReadFile(invokeFile)
	require.NoError(t, err)
	look := strings.Replace(string(book[strings.Index(string(book), "[functions.book]"):]), "functions.book", "functions.look", 1)
	look = strings.NewReplacer("reserva", "consulta", "7f3a9c21e0b4d655", "0000007c55d20a01").Replace(look)
	require.NoError(t, os.WriteFile(invokeFile, []byte(string(book)+look), 0o600))
	p := exec.Command(program, "-invoke", invokeFile)
	p.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	require.NoError(t, p.Start())
	defer func() {
		p.Process.Signal(syscall.SIGTERM)
		p.Wait()
	}()
	connect(t, addr).Close()
	client := ca.Client(fakes.Domain + "/desk/a")
	client.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	call := func(function, body string) int {
		q, err := http.NewRequest(http.MethodPost, url+"/v1/functions/"+function+"/invocations", strings.NewReader(body))
		require.NoError(t, err)
		q.Header.Set("Content-Type", "application/json")
		a, err := client.Do(q)
		require.NoError(t, err)
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
		return a.StatusCode
	}
	line := fmt.Sprintf("turn %d, %s:", turn, filepath.Base(program))
	for _, function := range []string{"look", "book"} {
		call(function, "first")
		var took []time.Duration
		for i := range 300 {
			begin := time.Now()
			require.Equal(t, 200, call(function, fmt.Sprintf("%s %d", function, i)))
			took = append(took, time.Since(begin))
		}
		slices.Sort(took)
		line += fmt.Sprintf(" %s p50 %v p99 %v;", function, took[150], took[297])
	}
	var mu sync.Mutex
	var work sync.WaitGroup
	codes, begin := map[int]int{}, time.Now()
	for c := range 64 {
		work.Go(func() {
			for i := range 40 {
				code := call("look", fmt.Sprintf("many %d %d", c, i))
				mu.Lock()
				codes[code]++
				mu.Unlock()
			}
		})
	}
	work.Wait()
	t.Logf("%s 64 callers: %v in %v", line, codes, time.Since(begin).Round(time.Millisecond))
}

// Measures the start of the real process on a store with 100,000 tickets, and what it holds then. Outside CI:
// KITEFALL_MEASURE_START has to be set.
func TestMeasureStart(t *testing.T) {
	if os.Getenv("KITEFALL_MEASURE_START") == "" {
		t.Skip("KITEFALL_MEASURE_START is not set")
	}
	program := filepath.Join(t.TempDir(), "kitefall")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, c := range []struct {
		name       string
		open, body int
	}{{"empty", -1, 0}, {"100,000 kept, 1,000 of them open, bodies of 300 bytes", 1000, 300},
		{"100,000 waiting, bodies of 300 bytes", 100000, 300}, {"100,000 waiting, bodies of 2,000 bytes", 100000, 2000}} {
		ca, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
		addr, path := free(t), filepath.Join(t.TempDir(), "config.json")
		configure(t, path, addr, "127.0.0.1:1", worker)
		invokeFile, url := edge(t, ca)
		text, err := os.ReadFile(invokeFile)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(invokeFile, append([]byte("most_tickets = 200000\n"), text...), 0o600))
		if c.open >= 0 {
			fillStore(t, invokeFile+".db", 100000, c.open, c.body)
		}
		p := exec.Command(program, "-invoke", invokeFile)
		p.Env = append(os.Environ(), "RELAY_CONFIG="+path)
		begin := time.Now()
		require.NoError(t, p.Start())
		client := ca.Client(fakes.Domain + "/desk/a")
		require.Eventually(t, func() bool {
			a, err := client.Get(url + "/v1/invocations/none")
			if err == nil {
				a.Body.Close()
			}
			return err == nil
		}, 60*time.Second, time.Millisecond)
		ready := time.Since(begin)
		held := func() string {
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
			require.NoError(t, err)
			found := ""
			for line := range strings.Lines(string(status)) {
				if name, value, _ := strings.Cut(line, ":"); name == "VmRSS" || name == "RssAnon" || name == "VmHWM" {
					found += " " + name + " " + strings.TrimSpace(value)
				}
			}
			return found
		}
		first := held()
		time.Sleep(5 * time.Second) // what it settles at: a measurement, no synchronisation
		info, err := os.Stat(invokeFile + ".db")
		require.NoError(t, err)
		t.Logf("%s: ready after %v, file %d MB, held at first%s, after 5 s%s", c.name, ready.Round(time.Millisecond),
			info.Size()>>20, first, held())
		require.NoError(t, p.Process.Signal(syscall.SIGTERM))
		p.Wait()
	}
}

// fillStore makes a store with so many tickets, of which some wait for a time far off.
func fillStore(t *testing.T, path string, n, open, body int) {
	s, err := store.Open(path, store.Options{Retention: 24 * time.Hour, MaxInvocations: 1 << 30})
	require.NoError(t, err)
	defer s.Close()
	now := time.Now()
	var work sync.WaitGroup
	for g := range 64 {
		work.Go(func() {
			for i := g; i < n; i += 64 {
				id := rand.Text()
				o := invocation.Request{Tenant: "a", IdempotencyKey: id, Fingerprint: make([]byte, 32), Function: "book", Class: "reserva", Deferred: true,
					Urgency: 3, NotBefore: now.Add(time.Hour), Expires: now.Add(20 * time.Hour), RunTimeout: time.Second, Body: make([]byte, body)}
				_, err := s.Create(invocation.New(id, o, now), nil, now)
				if err == nil && i >= open {
					_, _, err = s.Apply(id, invocation.Input{Event: invocation.EventCancel}, nil, now)
				}
				if !assert.NoError(t, err) {
					return
				}
			}
		})
	}
	work.Wait()
}
