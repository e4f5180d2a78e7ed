package simwire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"kitefall/internal/balancer"
)

func TestEncodeActions(t *testing.T) {
	for _, c := range []struct {
		action balancer.Action
		want   string
	}{
		{balancer.Send{ID: 1, Worker: "a", Timeout: 80 * time.Millisecond},
			`{"msg":"call_out","dispatcher":3,"msg_id":1,"limit_us":80000,"runner":"a"}`},
		{balancer.Cancel{ID: 0, Attempt: 0}, `{"msg":"revoke","dispatcher":3,"msg_id":0,"n":0}`},
		{balancer.Reject{ID: 1}, `{"msg":"push_back","dispatcher":3,"msg_id":1}`},
		{balancer.Reject{ID: 1, RetryAfter: time.Second},
			`{"msg":"push_back","dispatcher":3,"msg_id":1,"come_back_us":1000000}`},
		{balancer.Fail{ID: 1}, `{"msg":"surrender","dispatcher":3,"msg_id":1}`},
		{balancer.Load{Worker: "a", Function: "0f", Copies: 0},
			`{"msg":"start_copy","dispatcher":3,"runner":"a","function":"0f","copies":0}`},
		{balancer.Unload{Worker: "a", Function: "0f"}, `{"msg":"unmount","dispatcher":3,"runner":"a","function":"0f"}`},
		{balancer.SetTimer{After: time.Second, TimerID: 7}, `{"msg":"sleep","dispatcher":3,"span_us":1000000,"ref":7}`},
		{balancer.Watch{On: false}, `{"msg":"stream_changes","dispatcher":3,"want":false}`},
		{balancer.Fetch{}, `{"msg":"pull","dispatcher":3}`},
		{balancer.Log{Text: "<a>"}, `{"msg":"write_log","dispatcher":3,"text":"<a>"}`},
	} {
		var encoder Encoder
		encoder.Add(3, []balancer.Action{c.action})
		got, err := encoder.Reply()
		if err != nil || !strings.HasSuffix(string(got), "\n") || !json.Valid(got) {
			t.Fatalf("%q %v", got, err)
		}
		var reply struct{ Steps []map[string]any }
		var want map[string]any
		json.Unmarshal(got, &reply)
		json.Unmarshal([]byte(c.want), &want)
		if len(reply.Steps) != 1 || !reflect.DeepEqual(reply.Steps[0], want) {
			t.Errorf("%+v: got %s want %s", c.action, got, c.want)
		}
	}
}

func TestEncodeReplyWithoutActions(t *testing.T) {
	var encoder Encoder
	if got, _ := encoder.Reply(); string(got) != "{\"steps\":[]}\n" {
		t.Errorf("reply without actions: %q", got)
	}
}
