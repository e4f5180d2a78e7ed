package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/control"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// shell runs command lines of the program.
type shell struct {
	t    *testing.T
	file string
}

func (s shell) run(code int, args ...string) string {
	s.t.Helper()
	var out, errs bytes.Buffer
	got := execute(append(args, "--invoke", s.file), &out, &errs)
	require.Equal(s.t, code, got, "%v: %s%s", args, out.String(), errs.String())
	return out.String() + errs.String()
}

// operated makes a store with an open ticket, one that was served, and two dead letters: one that may have run.
func operated(t *testing.T) (file, path string) {
	dir := t.TempDir()
	file, path = filepath.Join(dir, "invoke.toml"), filepath.Join(dir, "tickets.db")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "listen = '127.0.0.1:1'\nworkload_api = 'x'\nstore = %q\n", path), 0o600))
	s, err := store.Open(path, store.Options{Retention: time.Hour, MaxInvocations: 100})
	require.NoError(t, err)
	defer s.Close()
	now := time.Now()
	for id, facts := range map[string][]invocation.Event{"open": nil, "served": {invocation.EventSubmit, invocation.EventStart, invocation.EventServed},
		"ran": {invocation.EventSubmit, invocation.EventStart, invocation.EventFailed}, "refused": {invocation.EventSubmit, invocation.EventRejected}} {
		o := invocation.Request{Tenant: "a", Function: "book", Class: "reserva", Deferred: true, Expires: now.Add(time.Hour)}
		_, err := s.Create(invocation.New(id, o, now), nil, now)
		require.NoError(t, err)
		for _, f := range facts {
			_, _, err := s.Apply(id, invocation.Input{Event: f}, nil, now)
			require.NoError(t, err)
		}
	}
	return file, path
}

// Every command on the file, and the same by the control socket of a program that has it.
func TestTicketsCommands(t *testing.T) {
	for _, running := range []bool{false, true} {
		file, path := operated(t)
		sh := shell{t, file}
		held := func() func() {
			if !running {
				return func() {}
			}
			s, err := store.Open(path, store.Options{Retention: time.Hour, MaxInvocations: 100})
			require.NoError(t, err)
			socket, err := control.Listen(path+".sock", control.ForStore(s, nil))
			require.NoError(t, err)
			info, err := os.Stat(path + ".sock")
			require.NoError(t, err)
			assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "its owner's alone")
			_, err = control.Listen(path+".sock", control.ForStore(s, nil))
			require.Error(t, err, "somebody answers on it")
			return func() { socket.Close(); s.Close() }
		}
		done := held()
		assert.Contains(t, sh.run(0, "tickets", "list"), "served")
		var found []control.Invocation
		require.NoError(t, json.Unmarshal([]byte(sh.run(0, "tickets", "list", "--dead", "--json")), &found))
		assert.Len(t, found, 2)
		assert.Contains(t, sh.run(0, "tickets", "show", "ran"), "may have run, dead")
		sh.run(exitNotFound, "tickets", "show", "none")
		sh.run(exitUsage, "tickets", "show")
		sh.run(exitUsage, "tickets", "list", "--all-of-them")
		sh.run(exitRejected, "tickets", "redrive", "open")
		sh.run(exitRejected, "tickets", "redrive", "ran", "--reason", "it looks fine")
		sh.run(exitUsage, "tickets", "redrive", "ran", "--checked")
		assert.Contains(t, sh.run(0, "tickets", "redrive", "ran", "--checked", "--reason", "no such booking"), "origin    ran")
		assert.Contains(t, sh.run(0, "tickets", "show", "ran"), "no such booking")
		sh.run(0, "tickets", "redrive", "refused")
		sh.run(exitUsage, "tickets", "purge")
		assert.Contains(t, sh.run(0, "tickets", "purge", "--all", "--older", "1h"), "0 purged")
		assert.Contains(t, sh.run(0, "tickets", "purge", "refused"), "1 purged")
		sh.run(exitNotFound, "tickets", "show", "refused")
		assert.Contains(t, sh.run(0, "tickets", "verify"), "5 tickets, all sound")
		sh.run(0, "tickets", "compact")
		copied := filepath.Join(t.TempDir(), "copy.db")
		sh.run(0, "tickets", "snapshot", copied)
		sh.run(exitStorage, "tickets", "snapshot", copied)
		done()
		sh.run(exitStorage, "tickets", "restore", copied)
		require.NoError(t, os.RemoveAll(path))
		require.NoError(t, os.RemoveAll(path+".log"))
		sh.run(exitStorage, "tickets", "list")
		sh.run(0, "tickets", "restore", copied)
		assert.Contains(t, sh.run(0, "tickets", "verify"), "5 tickets, all sound")
	}
}

// A store that another process holds, and that has no socket, is said to be held.
func TestHeldStore(t *testing.T) {
	file, path := operated(t)
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	defer s.Close()
	assert.Contains(t, shell{t, file}.run(exitStorage, "tickets", "list"), "another process holds the file")
}

func TestConfigCheck(t *testing.T) {
	var out, errs bytes.Buffer
	assert.Equal(t, exitOK, execute([]string{"config", "check", "../../deploy/invoke.toml", "--relay-config", ""}, &out, &errs))
	assert.Contains(t, out.String(), "function free-slots: consulta")
	file := filepath.Join(t.TempDir(), "invoke.toml")
	require.NoError(t, os.WriteFile(file, []byte("listen = ':1'\nretention = '0s'\n[functions.f]\nclass = 'c'\nkey = 'short'\n"), 0o600))
	errs.Reset()
	assert.Equal(t, exitFailed, execute([]string{"config", "check", file, "--relay-config", ""}, &out, &errs))
	for _, line := range []string{":2: retention: has to be above 0", ":5: functions.f.key: ", ":3: functions.f.deadline: ", "store: is missing"} {
		assert.Contains(t, errs.String(), line)
	}
	assert.Equal(t, exitUsage, execute([]string{"config", "check"}, &out, &errs))
	assert.Equal(t, exitUsage, execute([]string{"brew"}, &out, &errs))
	assert.Equal(t, exitUsage, execute([]string{"serve", "--log", "xml"}, &out, &errs))
	assert.Equal(t, []string{"--invoke", "f", "--invoke=g"}, expandLegacyFlags([]string{"-invoke", "f", "-invoke=g"}))
}
