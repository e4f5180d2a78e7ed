package resp

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
)

// callRequest returns a CALL request with the arguments after its tag.
func callRequest(arguments ...string) request {
	received := request{arguments: [][]byte{[]byte(commandCall), []byte("1")}}
	for _, argument := range arguments {
		received.arguments = append(received.arguments, []byte(argument))
	}
	return received
}

func TestParseCallReadsAllFields(t *testing.T) {
	now := time.Now()
	settings := &balancer.Settings{Classes: []balancer.Class{{Name: "consulta"}}}
	fields := "id=9b1f03aa5c7e2d41,wait=4000,tenant=acme,key=7f3a9c21e0b4d655,once=5c0f=\x00\xff,cost=8.5," +
		"spec=memory_mb:512;lanes:2;load_ms:640;later:1,later=1"
	parsed, err := parseCall(callRequest("consulta", fields, "body"), settings, now)
	require.NoError(t, err)
	assert.Equal(t, &call.Call{
		ID:           0x9b1f03aa5c7e2d41,
		Class:        "consulta",
		Tenant:       "acme",
		Function:     "7f3a9c21e0b4d655",
		WorkEstimate: 8500 * time.Microsecond,
		MemoryMB:     512,
		Concurrency:  2,
		LoadTime:     640 * time.Millisecond,
		Body:         []byte("body"),
		Deadline:     now.Add(4 * time.Second),

		IdempotencyKey: "5c0f=\x00\xff",
	}, parsed)
}

func TestParseCallNamesTheInvalidField(t *testing.T) {
	settings := &balancer.Settings{Classes: []balancer.Class{{Name: "consulta"}}}
	const valid = "id=9b1f03aa5c7e2d41,key=7f3a9c21e0b4d655,wait=1000"
	longKey := strings.Repeat("k", call.MaxKeyBytes+1)
	for fields, want := range map[string]fieldError{
		"key=7f3a9c21e0b4d655,wait=1":    {field: "id", reason: "missing"},
		"id=9b1f03aa5c7e2d41,wait=1":     {field: "key", reason: "missing"},
		"id=1":                           {field: "id", value: "1", reason: "must be 16 hex digits"},
		"wait=0":                         {field: "wait", value: "0", reason: "must be from 1 to 600000"},
		"wait=soon":                      {field: "wait", value: "soon", reason: "must be a number"},
		valid + ",cost":                  {field: "cost", reason: "has no value"},
		valid + ",once=" + longKey:       {field: "once", reason: "too long"},
		valid + ",wait=2":                {field: "wait", value: "2", reason: "is given twice"},
		valid + ",spec=lanes:0;load_ms:": {field: "lanes", value: "0", reason: "must be from 1 to 1024"},
	} {
		t.Run(fields, func(t *testing.T) {
			_, err := parseCall(callRequest("consulta", fields), settings, time.Now())
			var got *fieldError
			require.True(t, errors.As(err, &got), "%v", err)
			assert.Equal(t, want, *got)
		})
	}
}
