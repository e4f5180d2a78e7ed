package schedule

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"minimum concurrency":  func(c *Config) { c.MinConcurrency = 0 },
		"maximum concurrency":  func(c *Config) { c.MaxConcurrency = 1 },
		"starvation limit":     func(c *Config) { c.StarvationLimit = 0 },
		"runs":                 func(c *Config) { c.MaxRuns = 0 },
		"backoff":              func(c *Config) { c.Backoff = 0 },
		"retry rate":           func(c *Config) { c.RetryRate = 0 },
		"slow factor":          func(c *Config) { c.SlowFactor = 1 },
		"burst of cold starts": func(c *Config) { c.ColdStartBurst = 0 },
		"weight of a tenant":   func(c *Config) { c.Tenants["big"] = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			c := testConfig()
			invalidate(&c)
			_, err := New(c, 1, noon)
			assert.Error(t, err)
		})
	}
}
