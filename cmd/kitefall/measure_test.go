package main

import (
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

	"github.com/stretchr/testify/require"

	"kitefall/internal/standin"
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
	ca, worker := standin.NewAuthority(t), standin.NewWorker(t)
	worker.Serve(func(k *standin.Call) { k.OK(`"done"`) })
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
	desk := ca.Client(standin.Domain + "/desk/a")
	desk.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	call := func(function, body string) int {
		q, err := http.NewRequest(http.MethodPost, url+"/v1/functions/"+function+"/invocations", strings.NewReader(body))
		require.NoError(t, err)
		q.Header.Set("Content-Type", "application/json")
		a, err := desk.Do(q)
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
