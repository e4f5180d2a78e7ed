package resp_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/fakes"
)

// The frontend must answer invalid calls itself. A worker would answer them with an error, which would count against the worker.
func TestInvalidCallsFailAtTheFrontend(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	const id, key, others = "id=9b1f03aa5c7e2d41,", "key=7f3a9c21e0b4d655", ",wait=1000,tenant=acme"
	for i, call := range []struct{ name, class, fields string }{
		{"no id", "consulta", key + others},
		{"id of letters", "consulta", "id=xyz," + key + others},
		{"short id", "consulta", "id=1," + key + others},
		{"id twice", "consulta", id + id + key + others},
		{"short key", "consulta", id + "key=aa" + others},
		{"key with a letter", "consulta", id + "key=7f3a9c21e0b4d65g" + others},
		{"no key", "consulta", id + others[1:]},
		{"negative wait", "consulta", id + key + ",wait=-1,tenant=acme"},
		{"wait that is no number", "consulta", id + key + ",wait=NaN,tenant=acme"},
		{"long wait", "consulta", id + key + ",wait=1e300,tenant=acme"},
		{"no wait", "consulta", id + key + ",tenant=acme"},
		{"unknown tenant", "consulta", id + key + ",wait=1000,tenant=nobody"},
		{"unknown class", "nothing", id + key + others},
		{"empty class", "", id + key + others},
		{"cost that is no number", "consulta", id + key + others + ",cost=NaN"},
		{"negative cost", "consulta", id + key + others + ",cost=-3"},
		{"cost that is a word", "consulta", id + key + others + ",cost=much"},
		{"infinite memory", "consulta", id + key + others + ",spec=memory_mb:+Inf"},
		{"no lanes", "consulta", id + key + others + ",spec=lanes:0"},
		{"negative load time", "consulta", id + key + others + ",spec=load_ms:-1e9"},
		{"lanes without a value", "consulta", id + key + others + ",spec=lanes"},
		{"no fields", "consulta", ""},
	} {
		t.Run(call.name, func(t *testing.T) {
			tag := strconv.Itoa(i + 10)
			c.sendCommand("CALL", tag, call.class, call.fields, "")
			assert.Equal(t, tag+" fault  ", c.receive())
		})
	}
	c.sendCall(1, "consulta", "good") // must be the first call that the worker receives
	w.NextCall().AnswerOK("done")
	assert.Equal(t, "1 ok  done", c.receive())
}

func TestUnknownCommandFails(t *testing.T) {
	c := startAndConnect(t)
	c.sendCommand("SING", "5")
	assert.Equal(t, "5 fault  ", c.receive())
}

// A malformed request ends its connection, and other clients are still served. Without the validator, a
// huge count or length would keep the connection's memory growing.
func TestMalformedRequestsEndTheConnection(t *testing.T) {
	w := fakes.NewWorker(t)
	_, connect := startServer(t, w)
	before := connect()
	before.sendCall(1, "consulta", "before")
	w.NextCall().AnswerOK("done") // after this the endpoints are known, and CHECK is answered with yes
	assert.Equal(t, "1 ok  done", before.receive())
	for name, data := range map[string]string{
		"count beyond all bounds":  "*99999999999999999\r\n",
		"length beyond all bounds": "*2\r\n$999999999\r\n",
		"inline command":           "PING\r\n",
		"no tag":                   "*1\r\n$5\r\nCHECK\r\n",
		"tag of zero":              "*2\r\n$5\r\nCHECK\r\n$1\r\n0\r\n",
		"no arguments":             "*0\r\n",
		"two carriage returns":     "*2\r\r\n",
		"simple string":            "*2\r\n+x\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := connect()
			c.sendRaw(data)
			_, err := c.reader.ReadByte()
			assert.Error(t, err)
			c.Close()
		})
	}
	c := connect()
	c.sendCommand("CHECK", "1", "")
	assert.Equal(t, "1 yes  ", c.receive())
}
