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
	"kitefall/internal/monotonic"
)

// commandLine runs commands of the program within the test's process, with the flag --invoke set to invokeFile.
type commandLine struct {
	t          *testing.T
	invokeFile string
}

// run runs a command and requires its exit code. It returns the command's standard output, followed by its standard error.
func (c commandLine) run(exitCode int, args ...string) string {
	c.t.Helper()
	var stdout, stderr bytes.Buffer
	got := execute(append(args, "--invoke", c.invokeFile), &stdout, &stderr)
	require.Equal(c.t, exitCode, got, "%v: %s%s", args, stdout.String(), stderr.String())
	return stdout.String() + stderr.String()
}

// writeTestStore writes a store with four invocations: open, which is incomplete; served, which was served; and the dead
// letters ran, which may have run, and refused, which did not run. It returns the paths of an operator's file for the store
// and of the store.
func writeTestStore(t *testing.T) (invokeFile, storePath string) {
	t.Helper()
	dir := t.TempDir()
	invokeFile = filepath.Join(dir, "invoke.toml")
	storePath = filepath.Join(dir, "tickets.db")
	text := fmt.Appendf(nil, "listen = '127.0.0.1:1'\nworkload_api = 'x'\nstore = %q\n", storePath)
	require.NoError(t, os.WriteFile(invokeFile, text, 0o600))
	s := openSmallStore(t, storePath)
	defer s.Close()
	now := time.Now()
	for id, events := range map[string][]invocation.Event{
		"open":    nil,
		"served":  {invocation.EventSubmit, invocation.EventStart, invocation.EventServed},
		"ran":     {invocation.EventSubmit, invocation.EventStart, invocation.EventFailed},
		"refused": {invocation.EventSubmit, invocation.EventRejected},
	} {
		request := invocation.Request{
			Tenant:   "a",
			Function: "book",
			Class:    "reserva",
			Deferred: true,
			Expires:  now.Add(time.Hour),
		}
		_, err := s.Create(invocation.New(id, request, now), nil, now)
		require.NoError(t, err)
		for _, event := range events {
			_, _, err := s.Apply(id, invocation.Input{Event: event}, nil, now)
			require.NoError(t, err)
		}
	}
	return invokeFile, storePath
}

// openSmallStore opens a store with a limit of 100 invocations.
func openSmallStore(t *testing.T, path string) *store.Store {
	t.Helper()
	s, err := store.Open(path, store.Options{Retention: time.Hour, MaxInvocations: 100})
	require.NoError(t, err)
	return s
}

// openControlSocket opens a store and a control socket for it, as a running dispatcher does, and checks the permissions of
// the socket. The returned function closes both.
func openControlSocket(t *testing.T, storePath string) (closeAll func()) {
	t.Helper()
	socketPath := storePath + ".sock"
	s := openSmallStore(t, storePath)
	server, err := control.Listen(socketPath, control.ForStore(s, monotonic.Start(time.Now()), nil))
	require.NoError(t, err)
	info, err := os.Stat(socketPath)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "only the owner may use the control socket")
	_, err = control.Listen(socketPath, control.ForStore(s, monotonic.Start(time.Now()), nil))
	require.Error(t, err, "another server already listens on the socket")
	return func() {
		server.Close()
		s.Close()
	}
}

func TestTicketsCommands(t *testing.T) {
	t.Run("on the file", func(t *testing.T) {
		invokeFile, storePath := writeTestStore(t)
		testTicketsCommands(t, invokeFile, storePath, func() {})
	})
	t.Run("over the control socket", func(t *testing.T) {
		invokeFile, storePath := writeTestStore(t)
		testTicketsCommands(t, invokeFile, storePath, openControlSocket(t, storePath))
	})
}

// testTicketsCommands runs every tickets command. It calls closeAll before it deletes and restores the store.
func testTicketsCommands(t *testing.T, invokeFile, storePath string, closeAll func()) {
	c := commandLine{t, invokeFile}
	assert.Contains(t, c.run(exitOK, "tickets", "list"), "served")
	var deadLetters []control.Invocation
	require.NoError(t, json.Unmarshal([]byte(c.run(exitOK, "tickets", "list", "--dead", "--json")), &deadLetters))
	assert.Len(t, deadLetters, 2)
	assert.Contains(t, c.run(exitOK, "tickets", "show", "ran"), "may have run, dead")
	c.run(exitNotFound, "tickets", "show", "none")
	c.run(exitUsage, "tickets", "show")
	c.run(exitUsage, "tickets", "list", "--all-of-them")

	c.run(exitRejected, "tickets", "redrive", "open")
	c.run(exitRejected, "tickets", "redrive", "ran", "--reason", "it looks fine")
	c.run(exitUsage, "tickets", "redrive", "ran", "--checked")
	redriven := c.run(exitOK, "tickets", "redrive", "ran", "--checked", "--reason", "no such booking")
	assert.Contains(t, redriven, "origin    ran")
	assert.Contains(t, c.run(exitOK, "tickets", "show", "ran"), "no such booking")
	c.run(exitOK, "tickets", "redrive", "refused")

	c.run(exitUsage, "tickets", "purge")
	assert.Contains(t, c.run(exitOK, "tickets", "purge", "--all", "--older", "1h"), "0 purged")
	assert.Contains(t, c.run(exitOK, "tickets", "purge", "refused"), "1 purged")
	c.run(exitNotFound, "tickets", "show", "refused")

	assert.Contains(t, c.run(exitOK, "tickets", "verify"), "5 tickets, all sound")
	c.run(exitOK, "tickets", "compact")
	snapshot := filepath.Join(t.TempDir(), "copy.db")
	c.run(exitOK, "tickets", "snapshot", snapshot)
	c.run(exitStorage, "tickets", "snapshot", snapshot)

	closeAll()
	c.run(exitStorage, "tickets", "restore", snapshot)
	require.NoError(t, os.RemoveAll(storePath))
	require.NoError(t, os.RemoveAll(storePath+".log"))
	c.run(exitStorage, "tickets", "list")
	c.run(exitOK, "tickets", "restore", snapshot)
	assert.Contains(t, c.run(exitOK, "tickets", "verify"), "5 tickets, all sound")
}

func TestTicketsResultsInJSON(t *testing.T) {
	invokeFile, storePath := writeTestStore(t)
	c := commandLine{t, invokeFile}
	assert.Equal(t, "{\n  \"purged\": 1\n}\n", c.run(exitOK, "tickets", "purge", "refused", "--json"))
	assert.Equal(t, "{\n  \"tickets\": 3\n}\n", c.run(exitOK, "tickets", "verify", "--json"))
	assert.Regexp(t, `^{\n  "after": \d+,\n  "before": \d+\n}\n$`, c.run(exitOK, "tickets", "compact", "--json"))
	snapshot := filepath.Join(t.TempDir(), "copy.db")
	assert.JSONEq(t, fmt.Sprintf(`{"snapshot": %q}`, snapshot), c.run(exitOK, "tickets", "snapshot", snapshot, "--json"))
	require.NoError(t, os.RemoveAll(storePath))
	require.NoError(t, os.RemoveAll(storePath+".log"))
	assert.JSONEq(t, fmt.Sprintf(`{"store": %q}`, storePath), c.run(exitOK, "tickets", "restore", snapshot, "--json"))
}

// A command must report the lock if another process holds the store open but serves no control socket.
func TestTicketsCommandOnALockedStore(t *testing.T) {
	invokeFile, storePath := writeTestStore(t)
	s, err := store.Open(storePath, store.Options{})
	require.NoError(t, err)
	defer s.Close()
	assert.Contains(t, commandLine{t, invokeFile}.run(exitStorage, "tickets", "list"), "another process holds the file")
}

func TestConfigCheckExplainsTheFile(t *testing.T) {
	var stdout, stderr bytes.Buffer
	args := []string{"config", "check", "../../deploy/invoke.toml", "--relay-config", ""}
	assert.Equal(t, exitOK, execute(args, &stdout, &stderr))
	assert.Contains(t, stdout.String(), "function free-slots: consulta")
}

func TestConfigCheckListsAllErrors(t *testing.T) {
	invokeFile := filepath.Join(t.TempDir(), "invoke.toml")
	text := "listen = ':1'\nretention = '0s'\n[functions.f]\nclass = 'c'\nkey = 'short'\n"
	require.NoError(t, os.WriteFile(invokeFile, []byte(text), 0o600))
	var stdout, stderr bytes.Buffer
	assert.Equal(t, exitFailed, execute([]string{"config", "check", invokeFile, "--relay-config", ""}, &stdout, &stderr))
	for _, line := range []string{
		":2: retention: has to be above 0",
		":5: functions.f.key: ",
		":3: functions.f.deadline: ",
		"store: is missing",
	} {
		assert.Contains(t, stderr.String(), line)
	}
}

func TestUsageErrors(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, exitUsage, execute([]string{"config", "check"}, &stdout, &stderr))
	assert.Equal(t, exitUsage, execute([]string{"brew"}, &stdout, &stderr))
	assert.Equal(t, exitUsage, execute([]string{"serve", "--log", "xml"}, &stdout, &stderr))
}

func TestExpandLegacyFlags(t *testing.T) {
	assert.Equal(t, []string{"--invoke", "f", "--invoke=g"}, expandLegacyFlags([]string{"-invoke", "f", "-invoke=g"}))
	assert.Equal(t, []string{"-invoke="}, expandLegacyFlags([]string{"-invoke="}))
}
