package resp

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The result of the validator must not depend on how the network splits a request.
func TestValidatorAcceptsRequestsWholeAndByteByByte(t *testing.T) {
	longest := "$20480\r\n" + strings.Repeat("x", maxArgumentBytes) + "\r\n"
	for name, data := range map[string]string{
		"one request":       "*2\r\n$5\r\nCHECK\r\n$1\r\n1\r\n",
		"two requests":      "*1\r\n$1\r\na\r\n*1\r\n$1\r\nb\r\n",
		"empty argument":    "*1\r\n$0\r\n\r\n",
		"markers in a body": "*1\r\n$6\r\n*9\r\n$1\r\n",
		"leading zeros":     "*00001\r\n$00001\r\na\r\n",
		"largest request":   "*8\r\n" + strings.Repeat(longest, maxArguments),
	} {
		t.Run(name, func(t *testing.T) {
			var atOnce requestValidator
			require.True(t, atOnce.accept([]byte(data)))
			assert.False(t, atOnce.withinRequest())
			var byteByByte requestValidator
			for i := range len(data) {
				require.True(t, byteByByte.accept([]byte{data[i]}), "byte %d", i)
			}
			assert.False(t, byteByByte.withinRequest())
		})
	}
}

func TestValidatorRejectsInvalidRequests(t *testing.T) {
	for name, data := range map[string]string{
		"too many arguments":       "*9\r\n",
		"argument too long":        "*1\r\n$20481\r\n",
		"length with six digits":   "*1\r\n$000001\r\n",
		"length without digits":    "*1\r\n$\r\n",
		"negative length":          "*1\r\n$-1\r\n",
		"no carriage return":       "*1\n",
		"request within a request": "*2\r\n$1\r\na\r\n*1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var validator requestValidator
			assert.False(t, validator.accept([]byte(data)))
		})
	}
}

func TestValidatorReportsIncompleteRequest(t *testing.T) {
	complete := "*2\r\n$5\r\nCHECK\r\n$1\r\n1\r\n"
	var validator requestValidator
	assert.False(t, validator.withinRequest(), "before the first byte")
	for i := range len(complete) - 1 {
		require.True(t, validator.accept([]byte{complete[i]}))
		require.True(t, validator.withinRequest(), "after byte %d", i)
	}
	require.True(t, validator.accept([]byte{complete[len(complete)-1]}))
	assert.False(t, validator.withinRequest(), "after the last byte")
}
