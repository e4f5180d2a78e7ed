package worker

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
)

func TestFrameEncodeAndRead(t *testing.T) {
	sent := frame{mark: markAnswer, code: codeOK, id: 7, fields: "remark=waited,same=3,n=2", body: []byte("done")}
	received, err := readFrame(bytes.NewReader(sent.encode()), markAnswer)
	require.NoError(t, err)
	assert.Equal(t, sent, received)
	result, err := received.result()
	require.NoError(t, err)
	assert.Equal(t, Result{Status: balancer.OK, Warmth: balancer.WarmthWaitedForLoad, QueueDepth: 3, Copies: 2,
		Body: []byte("done")}, result)
}

func TestBadFramesAreRejected(t *testing.T) {
	good := frame{mark: markAnswer, code: codeOK, body: []byte("done")}
	wrongChecksum := good.encode()
	wrongChecksum[len(wrongChecksum)-1]++
	oversized := good.encode()
	oversized[4] = 0xff // most significant byte of the body length

	for name, data := range map[string][]byte{
		"command instead of an answer": frame{mark: markCommand, code: codeCall}.encode(),
		"wrong checksum":               wrongChecksum,
		"body over the limit":          oversized,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readFrame(bytes.NewReader(data), markAnswer)
			assert.ErrorIs(t, err, errBadFrame)
		})
	}

	_, err := frame{mark: markAnswer, code: 99}.result()
	assert.ErrorIs(t, err, errBadFrame, "unknown code")
}

func TestCommandFields(t *testing.T) {
	assert.Equal(t, "profile=reserva,thing=7f3a,max=1500", callFields("reserva", "7f3a", "", 1500*time.Millisecond))
	assert.Equal(t, "profile=cambio,thing=7f3a,max=1500,replay=5c=0f", callFields("cambio", "7f3a", "5c=0f", 1500*time.Millisecond))
	assert.Equal(t, "profile=reserva,thing=7f3a,max=1", callFields("reserva", "7f3a", "", -time.Second), "the deadline has passed")
	assert.Equal(t, "thing=7f3a,n=2", loadFields("7f3a", 2))
}
