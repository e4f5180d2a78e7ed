package control

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/invocation/store"
)

// recordingOperations implements Operations. It records the parameters of the last call and returns fixed results and err.
type recordingOperations struct {
	err    error
	params []any
}

var listed = []Invocation{{ID: "one", Outcome: "served"}, {ID: "two", DeadLetter: true}}

func (o *recordingOperations) record(params ...any) { o.params = params }

func (o *recordingOperations) List(filter store.Filter) ([]Invocation, error) {
	o.record(filter)
	return listed, o.err
}

func (o *recordingOperations) Show(id string) (Invocation, error) {
	o.record(id)
	return listed[0], o.err
}

func (o *recordingOperations) Redrive(id string, confirmed bool, reason string) (Invocation, error) {
	o.record(id, confirmed, reason)
	return listed[1], o.err
}

func (o *recordingOperations) Purge(ids []string, minAge time.Duration) (int, error) {
	o.record(ids, minAge)
	return 3, o.err
}

func (o *recordingOperations) Snapshot(path string) error {
	o.record(path)
	return o.err
}

func (o *recordingOperations) Verify() (int, error) {
	o.record()
	return 4, o.err
}

func (o *recordingOperations) Compact() (before, after int64, err error) {
	o.record()
	return 6, 5, o.err
}

// serve serves the operations on a control socket until the end of the test, and returns a client of this socket.
func serve(t *testing.T, operations Operations) Operations {
	t.Helper()
	path := filepath.Join(t.TempDir(), "control.sock")
	server, err := Listen(path, operations)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, server.Close()) })
	remote, ok := Dial(path)
	require.True(t, ok)
	return remote
}

func TestOperationsOverTheSocket(t *testing.T) {
	local := &recordingOperations{}
	remote := serve(t, local)

	filter := store.Filter{Tenant: "a", DeadLetters: true, Limit: 7}
	found, err := remote.List(filter)
	require.NoError(t, err)
	assert.Equal(t, listed, found)
	assert.Equal(t, []any{filter}, local.params)

	shown, err := remote.Show("one")
	require.NoError(t, err)
	assert.Equal(t, listed[0], shown)
	assert.Equal(t, []any{"one"}, local.params)

	redriven, err := remote.Redrive("one", true, "checked by hand")
	require.NoError(t, err)
	assert.Equal(t, listed[1], redriven)
	assert.Equal(t, []any{"one", true, "checked by hand"}, local.params)

	minAge := 90*time.Minute + time.Nanosecond
	purged, err := remote.Purge([]string{"one", "two"}, minAge)
	require.NoError(t, err)
	assert.Equal(t, 3, purged)
	assert.Equal(t, []any{[]string{"one", "two"}, minAge}, local.params)

	require.NoError(t, remote.Snapshot("/copy.db"))
	assert.Equal(t, []any{"/copy.db"}, local.params)
	assert.Error(t, remote.Snapshot("copy.db"), "the path is not absolute")

	count, err := remote.Verify()
	require.NoError(t, err)
	assert.Equal(t, 4, count)

	before, after, err := remote.Compact()
	require.NoError(t, err)
	assert.Equal(t, []int64{6, 5}, []int64{before, after})
}

func TestErrorsAreRestoredOverTheSocket(t *testing.T) {
	local := &recordingOperations{}
	remote := serve(t, local)
	for code, known := range errorCodes {
		local.err = fmt.Errorf("%w: with details", known)
		_, err := remote.Show("one")
		assert.ErrorIs(t, err, known, code)
		assert.EqualError(t, err, local.err.Error())
	}
	local.err = errors.New("any other")
	_, err := remote.Show("one")
	assert.EqualError(t, err, "any other")
}

func TestListenReplacesOnlyStaleSockets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.sock")
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	stale.SetUnlinkOnClose(false)
	stale.Close()
	_, ok := Dial(path)
	require.False(t, ok, "no process listens on the socket")
	server, err := Listen(path, &recordingOperations{})
	require.NoError(t, err)
	_, err = Listen(path, &recordingOperations{})
	assert.ErrorContains(t, err, "another dispatcher has this control socket")
	require.NoError(t, server.Close())
	assert.NoFileExists(t, path)

	require.NoError(t, os.WriteFile(path, []byte("kept"), 0o600))
	_, err = Listen(path, &recordingOperations{})
	assert.ErrorContains(t, err, "is no socket")
	assert.FileExists(t, path)
}
