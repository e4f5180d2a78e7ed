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
	// storedInvocations is how many invocations a store of the measurement holds, unless it is empty.
	storedInvocations = 100_000
	// settleTime is how long the program's memory has to settle. It is part of the measurement.
	settleTime = 5 * time.Second
	// fillWorkers is how many goroutines fill a store, so that they share its syncs.
	fillWorkers = 64
)

// startMeasurement is the state of the store with which a start is measured.
type startMeasurement struct {
	name       string // short: it is part of the path of the control socket, whose length is limited
	empty      bool
	incomplete int // of the stored invocations
	bodyBytes  int // of each invocation
}

// Measures the start of the real process on a store with 100,000 invocations, and its memory then. Outside CI:
// KITEFALL_MEASURE_START has to be set.
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
	s := newService(t, calmDiscovery(t), worker)
	invokeFile, url := writeInvokeFile(t, authority)
	text, err := os.ReadFile(invokeFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(invokeFile, append([]byte("most_tickets = 200000\n"), text...), 0o600))
	storePath := invokeFile + ".db"
	if !m.empty {
		m.fillStore(t, storePath)
	}

	process := programCommand(program, s.configPath, invokeFile)
	begin := time.Now()
	require.NoError(t, process.Start())
	client := authority.Client(fakes.Domain + clientIdentity)
	require.Eventually(t, func() bool {
		resp, err := client.Get(url + "/v1/invocations/none")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}, time.Minute, time.Millisecond)
	ready := time.Since(begin)

	memoryAtFirst := processMemory(t, process.Process.Pid)
	time.Sleep(settleTime)
	info, err := os.Stat(storePath)
	require.NoError(t, err)
	t.Logf("%+v: ready after %v, file %d MB, held at first%s, after %v%s", m, ready.Round(time.Millisecond),
		info.Size()>>20, memoryAtFirst, settleTime, processMemory(t, process.Process.Pid))
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	process.Wait()
}

// processMemory returns what the kernel tells of a process's resident memory.
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

// fillStore makes a store with invocations that wait for a time far off. All but the incomplete ones are cancelled.
func (m startMeasurement) fillStore(t *testing.T, path string) {
	t.Helper()
	s, err := store.Open(path, store.Options{Retention: 24 * time.Hour, MaxInvocations: 1 << 30})
	require.NoError(t, err)
	defer s.Close()
	now := time.Now()
	var workers sync.WaitGroup
	for first := range fillWorkers {
		workers.Go(func() {
			for i := first; i < storedInvocations; i += fillWorkers {
				if !assert.NoError(t, m.addInvocation(s, i, now)) {
					return
				}
			}
		})
	}
	workers.Wait()
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
