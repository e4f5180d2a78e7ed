package main

import (
	"crypto/rand"
	"fmt"
	"os"
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

const (
	// storedInvocations is the number of invocations in each store that is not empty.
	storedInvocations = 100_000
	// settleTime is how long the program's memory settles between its first reading, right after the start, and its second
	// reading. It is part of the definition of the measurement.
	settleTime = 5 * time.Second
	// fillGoroutines is the number of goroutines that fill a store at the same time, so that one sync covers several writes.
	fillGoroutines = 64
)

// startMeasurement describes the contents of the store with which the program's start is measured.
type startMeasurement struct {
	name       string // must be short: it is part of the path of the control socket, whose length is limited
	empty      bool
	incomplete int // number of the stored invocations that are incomplete
	bodyBytes  int // size of the body of each invocation
}

// Measures how long a real process takes to start, and its memory afterwards, on an empty store and on stores with 100,000
// invocations. It runs only if KITEFALL_MEASURE_START is set, and so not in CI.
func TestMeasureStart(t *testing.T) {
	if os.Getenv("KITEFALL_MEASURE_START") == "" {
		t.Skip("KITEFALL_MEASURE_START is not set")
	}
	program := buildProgram(t, "")
	for _, m := range []startMeasurement{
		{name: "empty", empty: true},
		{name: "few incomplete", incomplete: 1000, bodyBytes: 300},
		{name: "all incomplete", incomplete: storedInvocations, bodyBytes: 300},
		{name: "long bodies", incomplete: storedInvocations, bodyBytes: 2000},
	} {
		t.Run(m.name, func(t *testing.T) { m.run(t, program) })
	}
}

func (m startMeasurement) run(t *testing.T, program string) {
	t.Helper()
	authority, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
	s := newService(t, newIdleDiscovery(t), worker)
	invokeFile, url := writeInvokeFile(t, authority)
	text, err := os.ReadFile(invokeFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(invokeFile, append([]byte("most_tickets = 200000\n"), text...), 0o600))
	storePath := invokeFile + ".db"
	if !m.empty {
		m.fillStore(t, storePath)
	}

	process := programCommand(program, s.configPath, invokeFile)
	start := time.Now()
	require.NoError(t, process.Start())
	client := authority.Client(fakes.TrustDomain + clientIdentity)
	require.Eventually(t, func() bool {
		resp, err := client.Get(url + "/v1/invocations/none")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}, time.Minute, time.Millisecond)
	startupTime := time.Since(start)

	initialMemory := processMemory(t, process.Process.Pid)
	time.Sleep(settleTime)
	info, err := os.Stat(storePath)
	require.NoError(t, err)
	t.Logf("%+v: ready after %v, store file %d MB, memory at first%s, after another %v%s", m, startupTime.Round(time.Millisecond),
		info.Size()>>20, initialMemory, settleTime, processMemory(t, process.Process.Pid))
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	process.Wait()
}

// processMemory returns a process's resident memory as the kernel reports it: current (VmRSS), anonymous (RssAnon) and peak
// (VmHWM).
func processMemory(t *testing.T, pid int) string {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	found := ""
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "VmRSS", "RssAnon", "VmHWM":
			found += " " + name + " " + strings.TrimSpace(value)
		}
	}
	return found
}

// fillStore creates a store with deferred invocations that must not run within the next hour. All but m.incomplete of them
// are cancelled.
func (m startMeasurement) fillStore(t *testing.T, path string) {
	t.Helper()
	s, err := store.Open(path, store.Options{Retention: 24 * time.Hour, MaxInvocations: 1 << 30})
	require.NoError(t, err)
	defer s.Close()
	now := time.Now()
	var goroutines sync.WaitGroup
	for offset := range fillGoroutines {
		goroutines.Go(func() {
			for i := offset; i < storedInvocations; i += fillGoroutines {
				if !assert.NoError(t, m.addInvocation(s, i, now)) {
					return
				}
			}
		})
	}
	goroutines.Wait()
}

func (m startMeasurement) addInvocation(s *store.Store, index int, now time.Time) error {
	id := rand.Text()
	request := invocation.Request{
		Tenant:         "a",
		IdempotencyKey: id,
		Fingerprint:    make([]byte, 32),
		Function:       "book",
		Class:          "reserva",
		Deferred:       true,
		Urgency:        3,
		NotBefore:      now.Add(time.Hour),
		Expires:        now.Add(20 * time.Hour),
		RunTimeout:     time.Second,
		Body:           make([]byte, m.bodyBytes),
	}
	_, err := s.Create(invocation.New(id, request, now), nil, now)
	if err == nil && index >= m.incomplete {
		_, _, err = s.Apply(id, invocation.Input{Event: invocation.EventCancel}, nil, now)
	}
	return err
}
