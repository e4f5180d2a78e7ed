package simwire

import (
	"reflect"
	"testing"
	"time"

	"kitefall/internal/balancer"
)

// decodeEvents decodes a batch with the given events, which are separated by commas.
func decodeEvents(t *testing.T, decoder *Decoder, events string) []Event {
	t.Helper()
	batch, err := decoder.Decode([]byte(`{"clock_us":8412250,"more":1,"events":[` + events + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	if batch.Clock != 8412250*time.Microsecond {
		t.Fatalf("clock %v", batch.Clock)
	}
	return batch.Events
}

func TestDecodeEvents(t *testing.T) {
	decoder := NewDecoder()
	decodeEvents(t, decoder, `{"msg":"catalog","slot":3,"members":[{"runner":"a","pod":2,"condition":"healthy","flavor":"k",
		"boot_time_us":6,"rating":1.5,"area":"z"},{"runner":"b","condition":"cordoned"},
		{"runner":"c","condition":"deregistered"},{"runner":"d","condition":"odd"}]}`)
	for message, want := range map[string]balancer.Event{
		`{"msg":"backends_changed","dispatcher":3,"version":1,"slot":3,"scope":"Partial"}`: balancer.EndpointsEvent{
			Scope: balancer.ScopeDelta, Workers: []balancer.Worker{
				{ID: "a", Cell: 2, Kind: "k", Started: 6 * time.Microsecond, Weight: 1.5, Zone: "z"},
				{ID: "b", State: balancer.Draining, Weight: 1}, {ID: "c", State: balancer.Removed, Weight: 1},
				{ID: "d", State: balancer.Draining, Weight: 1}}},
		`{"msg":"backends_changed","dispatcher":3,"scope":"Error"}`: balancer.EndpointsEvent{Scope: balancer.ScopeFailed},
		`{"msg":"incoming","dispatcher":3,"msg_id":9,"mem_mb":384,"estimate_us":12,"band":"x","time_left_us":24,
			"function":"0f","width":2,"start_ms":900,"party":"p","again_by_client":true,"odd":[]}`: balancer.RequestEvent{
			ID: 9, MemoryMB: 384, WorkEstimate: 12 * time.Microsecond, Class: "x", TimeLeft: 24 * time.Microsecond,
			Function: "0f", Concurrency: 2, LoadTime: 900 * time.Millisecond, Tenant: "p", Retry: true},
		`{"msg":"incoming","dispatcher":3,"msg_id":9,"party":0}`: balancer.RequestEvent{ID: 9},
		`{"msg":"finished","dispatcher":3,"msg_id":9,"n":1,"runner":"a","code":200,"duration_us":5,"closed":true,
			"detail":43,"feedback":{"depth":3,"odd":1}}`: balancer.OutcomeEvent{ID: 9, Attempt: 1, Worker: "a",
			Status: balancer.OK, Elapsed: 5 * time.Microsecond, Answered: true, Warmth: balancer.WarmthWaitedForLoad, QueueDepth: 5},
		`{"msg":"finished","dispatcher":3,"msg_id":9,"runner":"a","code":777}`: balancer.OutcomeEvent{ID: 9, Worker: "a",
			Status: balancer.Failed},
		`{"msg":"established","dispatcher":3,"msg_id":9,"runner":"a","duration_us":7}`: balancer.StreamStartedEvent{ID: 9,
			Worker: "a", Elapsed: 7 * time.Microsecond},
		`{"msg":"client_left","dispatcher":3,"msg_id":9}`: balancer.ClientGoneEvent{ID: 9},
		`{"msg":"stands","dispatcher":3,"runner":"a","function":"0f","code":429,"duration_us":2,"copies":4}`: balancer.LoadEndedEvent{
			Worker: "a", Function: "0f", Status: balancer.Rejected, Elapsed: 2 * time.Microsecond, Copies: 4},
		`{"msg":"wake","dispatcher":3,"ref":77}`: balancer.TimerEvent{TimerID: 77},
		`{"msg":"later","dispatcher":3}`:         nil,
	} {
		got := decodeEvents(t, decoder, message)
		if len(got) != 1 || got[0].Dispatcher != 3 || !reflect.DeepEqual(got[0].Event, want) {
			t.Errorf("%s\n got %+v\nwant %+v", message, got, want)
		}
	}
	if got := decodeEvents(t, decoder, `{"msg":"halt","dispatcher":3}`); !got[0].Halt {
		t.Error("message halt did not set Halt")
	}
}

func TestDecodeSettings(t *testing.T) {
	got := decodeEvents(t, NewDecoder(), `{"msg":"up","dispatcher":1,"rng_seed":18446744073709551615,"profile_data":{
		"peers_total":3,"caps":{"cancel":true,"try_limit":4,"odd":{}},"kinds":["k"],"discovery":"ask",
		"domain":{"ram_mb_by_kind":[9152.0],"when_absent":"load","load_period_us":5},"weights":"live",
		"grades":[{"name":"x","effect":"token","group":"cell","credit":2.5},
		{"name":"y","effect":"odd"}],"parties":[{"name":"p","allowance_per_s":2}]}}`)
	up := got[0].Up
	if up == nil || up.Seed != 1<<64-1 {
		t.Fatalf("up %+v", up)
	}
	s := up.Settings
	if s.Dispatchers != 3 || !s.CanCancel || s.MaxAttempts != 4 || !s.PollEndpoints || !s.LoadOnMiss || !s.LiveWeights ||
		s.LoadWindow != 5*time.Microsecond || s.MemoryByKind["k"] != 9152 ||
		s.Classes[0].Idempotency != balancer.IdempotentWithKey || s.Classes[0].DedupScope != balancer.DedupCell || s.Classes[0].Weight != 2.5 ||
		s.Classes[1].Idempotency != balancer.NotIdempotent || s.Tenants[0].RateQuota != 2 {
		t.Errorf("settings %+v", s)
	}
}

func TestDecodeRejectsInvalidLines(t *testing.T) {
	for _, line := range []string{"", "{", "[]", "{}", `{"clock_us":1}`, `{"events":[]}`,
		`{"clock_us":"x","events":[]}`} {
		if _, err := NewDecoder().Decode([]byte(line)); err == nil {
			t.Errorf("%q: no error", line)
		}
	}
}
