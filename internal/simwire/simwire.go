// Package simwire is the wire protocol of the simulator: JSON lines of events in, JSON lines of actions out,
// translated to and from the types of package balancer.
package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/settings"
)

// Batch is one line of input: the events of many dispatchers at one moment.
type Batch struct {
	Clock  time.Duration
	Events []Event
}

// Event is one event of a batch. At most one of its parts is set; an unknown message sets none.
type Event struct {
	Dispatcher int64
	Up         *Up
	Halt       bool
	Event      balancer.Event
}

// Up starts an instance.
type Up struct {
	Seed     uint64
	Settings balancer.Settings
}

// Decoder reads batches. It keeps the numbered worker lists that events refer to.
type Decoder struct {
	lists map[int][]balancer.Worker
}

// NewDecoder returns a Decoder that knows no lists.
func NewDecoder() *Decoder { return &Decoder{lists: map[int][]balancer.Worker{}} }

type message struct {
	Msg        string          `json:"msg"`
	Dispatcher int64           `json:"dispatcher"`
	MsgID      int64           `json:"msg_id"`
	N          int             `json:"n"`
	Runner     string          `json:"runner"`
	Function   string          `json:"function"`
	Code       int             `json:"code"`
	Duration   int64           `json:"duration_us"`
	Closed     bool            `json:"closed"`
	Detail     int             `json:"detail"`
	Copies     int             `json:"copies"`
	MemMB      float64         `json:"mem_mb"`
	Estimate   int64           `json:"estimate_us"`
	Band       string          `json:"band"`
	TimeLeft   int64           `json:"time_left_us"`
	Again      bool            `json:"again_by_client"`
	Width      float64         `json:"width"`
	StartMS    float64         `json:"start_ms"`
	Party      any             `json:"party"`
	Ref        int64           `json:"ref"`
	Seed       json.Number     `json:"rng_seed"`
	Profile    json.RawMessage `json:"profile_data"`
	Slot       int             `json:"slot"`
	Scope      string          `json:"scope"`
	Members    []member        `json:"members"`
}

type member struct {
	Runner    string   `json:"runner"`
	Pod       int      `json:"pod"`
	Condition string   `json:"condition"`
	Flavor    string   `json:"flavor"`
	BootTime  int64    `json:"boot_time_us"`
	Rating    *float64 `json:"rating"`
	Area      string   `json:"area"`
}

var statuses = map[int]balancer.Status{
	200: balancer.OK, 502: balancer.Failed, 429: balancer.Rejected, 408: balancer.TimedOut, 521: balancer.ConnectFailed,
	520: balancer.Reset, 444: balancer.Cancelled, 409: balancer.NotSent, 204: balancer.Miss,
}

var scopes = map[string]balancer.UpdateScope{
	"Partial": balancer.ScopeDelta, "Complete": balancer.ScopeFull, "Persisted": balancer.ScopeStale, "Error": balancer.ScopeFailed,
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Decode reads one line. A line that is no batch is an error; unknown fields and messages are skipped.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw struct {
		Clock  *int64     `json:"clock_us"`
		Events *[]message `json:"events"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a batch: %w", err)
	}
	if raw.Clock == nil || raw.Events == nil {
		return Batch{}, errors.New("not a batch: clock_us or events is missing")
	}
	b := Batch{Clock: us(*raw.Clock)}
	for i := range *raw.Events {
		m := &(*raw.Events)[i]
		e := Event{Dispatcher: m.Dispatcher}
		switch m.Msg {
		case "catalog":
			d.lists[m.Slot] = workers(m.Members)
			continue
		case "up":
			s, err := settings.Parse(m.Profile)
			if err != nil {
				return Batch{}, fmt.Errorf("settings of dispatcher %d: %w", m.Dispatcher, err)
			}
			e.Up = &Up{Seed: seed(m.Seed), Settings: s}
		case "halt":
			e.Halt = true
		default:
			e.Event = d.event(m)
		}
		b.Events = append(b.Events, e)
	}
	return b, nil
}

func (d *Decoder) event(m *message) balancer.Event {
	request, worker, function := balancer.RequestID(m.MsgID), balancer.WorkerID(m.Runner), balancer.FunctionID(m.Function)
	switch m.Msg {
	case "backends_changed":
		scope, ok := scopes[m.Scope]
		if !ok {
			return nil
		}
		if scope == balancer.ScopeFailed {
			return balancer.EndpointsEvent{Scope: scope}
		}
		return balancer.EndpointsEvent{Scope: scope, Workers: d.lists[m.Slot]}
	case "incoming":
		tenant, _ := m.Party.(string)
		return balancer.RequestEvent{ID: request, Function: function, Class: m.Band, Tenant: tenant,
			TimeLeft: us(m.TimeLeft), MemoryMB: m.MemMB, Concurrency: int(m.Width),
			LoadTime: time.Duration(m.StartMS * float64(time.Millisecond)), WorkEstimate: us(m.Estimate), Retry: m.Again}
	case "finished":
		return balancer.OutcomeEvent{ID: request, Attempt: m.N, Worker: worker, Status: statuses[m.Code],
			Elapsed: us(m.Duration), Answered: m.Closed, Warmth: balancer.Warmth(m.Detail & 7), QueueDepth: m.Detail >> 3,
		}
	case "established":
		return balancer.StreamStartedEvent{ID: request, Attempt: m.N, Worker: worker, Elapsed: us(m.Duration)}
	case "client_left":
		return balancer.ClientGoneEvent{ID: request}
	case "stands":
		return balancer.LoadEndedEvent{Worker: worker, Function: function, Status: statuses[m.Code],
			Elapsed: us(m.Duration), Copies: m.Copies}
	case "wake":
		return balancer.TimerEvent{TimerID: m.Ref}
	}
	return nil
}

func seed(n json.Number) uint64 {
	if v, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
		return v
	}
	v, _ := n.Int64()
	return uint64(v)
}

func workers(members []member) []balancer.Worker {
	list := make([]balancer.Worker, 0, len(members))
	for _, m := range members {
		w := balancer.Worker{ID: balancer.WorkerID(m.Runner), Kind: m.Flavor, Zone: m.Area, Cell: m.Pod, Weight: 1,
			Started: us(m.BootTime), State: balancer.Draining}
		switch m.Condition {
		case "healthy":
			w.State = balancer.Ready
		case "deregistered":
			w.State = balancer.Removed
		}
		if m.Rating != nil {
			w.Weight = *m.Rating
		}
		list = append(list, w)
	}
	return list
}

// Encoder collects the actions that answer one batch.
type Encoder struct{ steps []any }

type step struct {
	Msg        string               `json:"msg"`
	Dispatcher int64                `json:"dispatcher"`
	MsgID      *balancer.RequestID  `json:"msg_id,omitempty"`
	N          *int                 `json:"n,omitempty"`
	Limit      *int64               `json:"limit_us,omitempty"`
	Runner     balancer.WorkerID    `json:"runner,omitempty"`
	Function   *balancer.FunctionID `json:"function,omitempty"`
	Copies     *int                 `json:"copies,omitempty"`
	ComeBack   *int64               `json:"come_back_us,omitempty"`
	Span       *int64               `json:"span_us,omitempty"`
	Ref        *int64               `json:"ref,omitempty"`
	Want       *bool                `json:"want,omitempty"`
	Text       *string              `json:"text,omitempty"`
}

func micros(d time.Duration) *int64 {
	n := d.Microseconds()
	return &n
}

// Add appends the actions of one dispatcher.
func (e *Encoder) Add(dispatcher int64, actions []balancer.Action) {
	for _, a := range actions {
		s := step{Dispatcher: dispatcher}
		switch a := a.(type) {
		case balancer.Send:
			s.Msg, s.MsgID, s.Runner, s.Limit = "call_out", &a.ID, a.Worker, micros(a.Timeout)
		case balancer.Cancel:
			s.Msg, s.MsgID, s.N = "revoke", &a.ID, &a.Attempt
		case balancer.Reject:
			s.Msg, s.MsgID = "push_back", &a.ID
			if a.RetryAfter > 0 {
				s.ComeBack = micros(a.RetryAfter)
			}
		case balancer.Fail:
			s.Msg, s.MsgID = "surrender", &a.ID
		case balancer.Load:
			s.Msg, s.Runner, s.Function, s.Copies = "start_copy", a.Worker, &a.Function, &a.Copies
		case balancer.Unload:
			s.Msg, s.Runner, s.Function = "unmount", a.Worker, &a.Function
		case balancer.SetTimer:
			s.Msg, s.Span, s.Ref = "sleep", micros(a.After), &a.TimerID
		case balancer.Watch:
			s.Msg, s.Want = "stream_changes", &a.On
		case balancer.Fetch:
			s.Msg = "pull"
		case balancer.Log:
			s.Msg, s.Text = "write_log", &a.Text
		default:
			continue
		}
		e.steps = append(e.steps, s)
	}
}

// Reply returns the line for all actions added since the last call, with its newline.
func (e *Encoder) Reply() ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if e.steps == nil {
		e.steps = []any{}
	}
	err := enc.Encode(struct {
		Steps []any `json:"steps"`
	}{e.steps})
	e.steps = e.steps[:0]
	return out.Bytes(), err
}
