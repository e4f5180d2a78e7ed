package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestUnknownKeysAreListed(t *testing.T) {
	file := []byte(`{"name":"n1","later":1,"limits":{"cores":1,"disk_mb":5},"settings":{"any":1},"another":{}}`)
	assert.Equal(t, []string{"another", "later", "limits.disk_mb"}, unknownKeys(file))
	assert.Empty(t, unknownKeys([]byte(`{"name":"n1","limits":{"cores":1}}`)))
	assert.Empty(t, unknownKeys([]byte(`no JSON`)))
}

func TestUnknownVariablesAreListed(t *testing.T) {
	environment := []string{"RELAY_CONFIG=x", "RELAY_LATER=1", "HOME=/", "RELAY_LISTEN=y"}
	assert.Equal(t, []string{"RELAY_LATER"}, unknownVariables(environment))
}
