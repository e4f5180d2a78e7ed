package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
)

// fullDocument sets every key that the package decodes, each to a different value.
const fullDocument = `{
	"peers_total": 3, "position": 2, "zone": "z2", "failure_domains": ["z1", "z2"], "step_us": 11,
	"grades": [
		{"name": "pure", "credit": 1.5, "late_value": 0.25, "goal_time_us": 12, "aim_stretch": 2.5, "deadline_us": 13,
			"effect": "pure", "stream": true},
		{"name": "zone", "effect": "token", "group": "zone", "window_us": 14},
		{"name": "cell", "effect": "token", "group": "cell"},
		{"name": "fleet", "effect": "token"},
		{"name": "unsafe", "effect": "side_effect"},
		{"name": "unknown", "effect": "new", "group": "new"}],
	"parties": [{"name": "p", "share": 0.5, "allowance_per_s": 15}],
	"over_share_worth": 0.125, "clients": {"marks_retry": true}, "worth_by": "work",
	"caps": {"cancel": true, "second_copies": true, "try_limit": 4, "open_cap": 16, "retry_after": true,
		"max_retry_after_us": 17, "dial_timeout_us": 18, "idle_close_us": 19, "max_streams": 20},
	"discovery": "ask", "weights": "live",
	"guarantees": {"ask_within_us": 21, "cold_from": 0.1, "drain_grace_us": 22, "fall_multiple": 1.75, "fall_us": 23,
		"grace_to_answer_us": 24, "ramp_time_us": 25},
	"kinds": ["k1", "k2", "k3"],
	"domain": {"answer_within_us": 26, "keep_alive_us": 27, "load_floor": 28, "load_period_us": 29, "loads_per_request": 0.3,
		"notes_peers_in_hand": true, "placement_calls": true, "ram_mb_by_kind": [100, 200], "tells_warm": true,
		"when_absent": "load"},
	"prices": {"handshake": 0.75},
	"unknown": {"key": 1}}`

func TestParseTranslatesEveryKey(t *testing.T) {
	const us = time.Microsecond
	got, err := Parse([]byte(fullDocument))
	require.NoError(t, err)
	assert.Equal(t, balancer.Settings{
		Dispatchers: 3, Position: 2, Zone: "z2", Zones: []string{"z1", "z2"}, MinEventInterval: 11 * us,
		Classes: []balancer.Class{
			{Name: "pure", Weight: 1.5, LateWeight: 0.25, LatencyObjective: 12 * us, ObjectiveStretch: 2.5, Deadline: 13 * us,
				Idempotency: balancer.Idempotent, Streaming: true},
			{Name: "zone", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupZone, DedupWindow: 14 * us},
			{Name: "cell", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupCell},
			{Name: "fleet", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupFleet},
			{Name: "unsafe", Idempotency: balancer.NotIdempotent},
			{Name: "unknown", Idempotency: balancer.NotIdempotent},
		},
		Tenants:            []balancer.Tenant{{Name: "p", Quota: 0.5, RateQuota: 15}},
		ClientsMarkRetries: true, OverQuotaWeight: 0.125, WeightByWork: true,
		CanCancel: true, Hedging: true, MaxAttempts: 4, MaxInFlight: 16, SendRetryAfter: true, MaxRetryAfter: 17 * us,
		PollEndpoints: true, PollTimeout: 21 * us, LiveWeights: true, DialTimeout: 18 * us,
		AnswerGrace: 24 * us, DrainGrace: 22 * us, SlowStartFloor: 0.1, SlowStartDuration: 25 * us,
		OverloadMultiple: 1.75, OverloadWindow: 23 * us,
		LoadOrders: true, LoadOnMiss: true, IdleTTL: 27 * us, LoadTimeout: 26 * us, LoadBurst: 28, LoadRatio: 0.3,
		LoadWindow: 29 * us, ReportsWarmth: true, ReportsQueueDepth: true,
		MemoryByKind: map[string]float64{"k1": 100, "k2": 200},
	}, got)
}

func TestParseConns(t *testing.T) {
	got, err := ParseConns([]byte(fullDocument))
	require.NoError(t, err)
	assert.Equal(t, Conns{IdleTimeout: 19 * time.Microsecond, MaxStreams: 20, HandshakeCost: 0.75}, got)
}

func TestParseErrors(t *testing.T) {
	for _, text := range []string{"", "[]", `{"caps":{"try_limit":"many"}}`} {
		_, err := Parse([]byte(text))
		assert.Error(t, err, "%q", text)
	}
	invalidConns := []byte(`{"caps":{"max_streams":"many"}}`)
	_, err := Parse(invalidConns)
	assert.NoError(t, err, "Parse does not decode the settings of connections")
	_, err = ParseConns(invalidConns)
	assert.Error(t, err)
}
