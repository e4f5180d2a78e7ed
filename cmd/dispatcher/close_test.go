package main

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// Guards against a program that SIGTERM does not end because its store hangs (review case 7).
func TestHangingStoreDoesNotKeepTheProgramFromEnding(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- closeUntil(ctx, func() error { <-release; return nil }) }()
	require.NoError(t, fakes.Receive(t, result))
	require.Error(t, ctx.Err(), "the store has until then to close")
}

// The error of a store that closes in time is returned.
func TestErrorOfTheStoresCloseIsReturned(t *testing.T) {
	failure := errors.New("failed")
	assert.Equal(t, failure, closeUntil(context.Background(), func() error { return failure }))
}
