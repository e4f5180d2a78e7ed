package invoke_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation"
)

func TestDeployedFileIsValid(t *testing.T) {
	_, err := invoke.ReadConfig("../../../deploy/invoke.toml", fakes.Settings())
	require.NoError(t, err)
}

// An operator's file with an error must be rejected. If the error were ignored, for example a misspelled key, the
// dispatcher would run without the limit that the file sets.
func TestInvalidFilesAreRejected(t *testing.T) {
	for valid, invalid := range map[string]string{
		"most_body = 64":       "most_bodies = 64",
		`"reserva"`:            `"reservas"`,
		`most_deadline = "4s"`: `most_deadline = "5s"`,
		"7f3a9c21e0b4d655":     "a,b=c",
		"spiffe://":            "https://",
	} {
		t.Run(invalid, func(t *testing.T) {
			path := writeOperatorsFile(t, strings.Replace(operatorsFile, valid, invalid, 1))
			_, err := invoke.ReadConfig(path, fakes.Settings())
			assert.Error(t, err)
		})
	}
}

// Guards against changes that are applied twice because workers do not get the client's key (review case 6). A key that would end its
// field in a frame is left out.
func TestCallsHaveTheClientsKey(t *testing.T) {
	config, err := invoke.ReadConfig(writeOperatorsFile(t, operatorsFile), fakes.Settings())
	require.NoError(t, err)
	for key, want := range map[string]string{"": "", "5c0f=6e1a": "5c0f=6e1a", "5c0f,max=1": ""} {
		call, err := config.Call(&invocation.Request{Function: "book", IdempotencyKey: key})
		require.NoError(t, err)
		assert.Equal(t, want, call.IdempotencyKey)
	}
}
