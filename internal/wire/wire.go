// Package wire translates JSON lines of events and actions to and from the types of package rules.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"kitefall/rules"
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
	Event      rules.Event
}

// Up starts an instance.
type Up struct {
	Seed     uint64
	Settings rules.Settings
}

// Decoder reads batches. It keeps the numbered worker lists that events refer to.
type Decoder struct {
	lists map[int][]rules.Worker
}

// NewDecoder returns a Decoder that knows no lists.
func NewDecoder() *Decoder { return &Decoder{lists: map[int][]rules.Worker{}} }

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

type profile struct {
	Peers    int      `json:"peers_total"`
	Position int      `json:"position"`
	Zone     string   `json:"zone"`
	Zones    []string `json:"failure_domains"`
	Step     int64    `json:"step_us"`
	Grades   []struct {
		Name     string  `json:"name"`
		Credit   float64 `json:"credit"`
		Late     float64 `json:"late_value"`
		Goal     int64   `json:"goal_time_us"`
		Stretch  float64 `json:"aim_stretch"`
		Deadline int64   `json:"deadline_us"`
		Effect   string  `json:"effect"`
		Group    string  `json:"group"`
		Window   int64   `json:"window_us"`
		Stream   bool    `json:"stream"`
	} `json:"grades"`
	Parties []struct {
		Name      string  `json:"name"`
		Share     float64 `json:"share"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"parties"`
	OverShare float64 `json:"over_share_worth"`
	Clients   struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	WorthBy string `json:"worth_by"`
	Caps    struct {
		Cancel        bool  `json:"cancel"`
		SecondCopies  bool  `json:"second_copies"`
		TryLimit      int   `json:"try_limit"`
		OpenCap       int   `json:"open_cap"`
		RetryAfter    bool  `json:"retry_after"`
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		DialTimeout   int64 `json:"dial_timeout_us"`
	} `json:"caps"`
	Discovery  string `json:"discovery"`
	Weights    string `json:"weights"`
	Guarantees struct {
		AskWithin   int64   `json:"ask_within_us"`
		ColdFrom    float64 `json:"cold_from"`
		DrainGrace  int64   `json:"drain_grace_us"`
		Multiple    float64 `json:"fall_multiple"`
		FallSpan    int64   `json:"fall_us"`
		AnswerSlack int64   `json:"grace_to_answer_us"`
		Ramp        int64   `json:"ramp_time_us"`
	} `json:"guarantees"`
	Kinds  []string `json:"kinds"`
	Domain struct {
		AnswerWithin int64     `json:"answer_within_us"`
		Keep         int64     `json:"keep_alive_us"`
		LoadFloor    float64   `json:"load_floor"`
		LoadPeriod   int64     `json:"load_period_us"`
		LoadShare    float64   `json:"loads_per_request"`
		TellsCrowd   bool      `json:"notes_peers_in_hand"`
		Orders       bool      `json:"placement_calls"`
		Memory       []float64 `json:"ram_mb_by_kind"`
		TellsWarm    bool      `json:"tells_warm"`
		WhenAbsent   string    `json:"when_absent"`
	} `json:"domain"`
}

var statuses = map[int]rules.Status{
	200: rules.OK, 502: rules.Failed, 429: rules.Full, 408: rules.TimedOut, 521: rules.ConnectFailed,
	520: rules.Reset, 444: rules.Cancelled, 409: rules.Moot, 204: rules.Miss,
}

var scopes = map[string]rules.ListScope{
	"Partial": rules.ListChange, "Complete": rules.ListFull, "Persisted": rules.ListStale, "Error": rules.ListFailed,
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
			s, err := Settings(m.Profile)
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

func (d *Decoder) event(m *message) rules.Event {
	request, worker, function := rules.RequestID(m.MsgID), rules.WorkerID(m.Runner), rules.FunctionID(m.Function)
	switch m.Msg {
	case "backends_changed":
		scope, ok := scopes[m.Scope]
		if !ok {
			return nil
		}
		if scope == rules.ListFailed {
			return rules.ListEvent{Scope: scope}
		}
		return rules.ListEvent{Scope: scope, Workers: d.lists[m.Slot]}
	case "incoming":
		tenant, _ := m.Party.(string)
		return rules.RequestEvent{ID: request, Function: function, Class: m.Band, Tenant: tenant,
			TimeLeft: us(m.TimeLeft), Memory: m.MemMB, Lanes: int(m.Width),
			LoadTime: time.Duration(m.StartMS * float64(time.Millisecond)), Work: us(m.Estimate), Repeat: m.Again}
	case "finished":
		return rules.OutcomeEvent{ID: request, Attempt: m.N, Worker: worker, Status: statuses[m.Code],
			Took: us(m.Duration), Closed: m.Closed, Warmth: rules.Warmth(m.Detail & 7), Crowd: m.Detail >> 3,
		}
	case "established":
		return rules.StartedEvent{ID: request, Attempt: m.N, Worker: worker, Took: us(m.Duration)}
	case "client_left":
		return rules.GoneEvent{ID: request}
	case "stands":
		return rules.LoadedEvent{Worker: worker, Function: function, Status: statuses[m.Code],
			Took: us(m.Duration), Copies: m.Copies}
	case "wake":
		return rules.WakeEvent{Ref: m.Ref}
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

func workers(members []member) []rules.Worker {
	list := make([]rules.Worker, 0, len(members))
	for _, m := range members {
		w := rules.Worker{ID: rules.WorkerID(m.Runner), Kind: m.Flavor, Zone: m.Area, Cell: m.Pod, Weight: 1,
			Started: us(m.BootTime), State: rules.Draining}
		switch m.Condition {
		case "healthy":
			w.State = rules.Ready
		case "deregistered":
			w.State = rules.Removed
		}
		if m.Rating != nil {
			w.Weight = *m.Rating
		}
		list = append(list, w)
	}
	return list
}

// Settings reads the settings of an instance, as the simulator's first message and a dispatcher's
// configuration hold them.
func Settings(data json.RawMessage) (rules.Settings, error) {
	var p profile
	if err := json.Unmarshal(data, &p); err != nil {
		return rules.Settings{}, err
	}
	s := rules.Settings{
		Peers: p.Peers, Position: p.Position, Zone: p.Zone, Zones: p.Zones, Step: us(p.Step),
		OverShareWorth: p.OverShare, MarksRepeats: p.Clients.MarksRetry, WorthByWork: p.WorthBy == "work",
		Cancel: p.Caps.Cancel, SecondCopies: p.Caps.SecondCopies,
		MaxAttempts: p.Caps.TryLimit, MaxOpen: p.Caps.OpenCap, RetryAfter: p.Caps.RetryAfter,
		MaxRetryAfter: us(p.Caps.MaxRetryAfter), DialTimeout: us(p.Caps.DialTimeout),
		AskList: p.Discovery == "ask", AskWithin: us(p.Guarantees.AskWithin), LiveWeights: p.Weights == "live",
		AnswerSlack: us(p.Guarantees.AnswerSlack), DrainGrace: us(p.Guarantees.DrainGrace),
		ColdFrom: p.Guarantees.ColdFrom, ColdRamp: us(p.Guarantees.Ramp),
		FallMultiple: p.Guarantees.Multiple, FallSpan: us(p.Guarantees.FallSpan),
		Orders: p.Domain.Orders, LoadOnMiss: p.Domain.WhenAbsent == "load", Keep: us(p.Domain.Keep),
		OrderTimeout: us(p.Domain.AnswerWithin), LoadFree: p.Domain.LoadFloor, LoadShare: p.Domain.LoadShare,
		LoadWindow: us(p.Domain.LoadPeriod), TellsWarm: p.Domain.TellsWarm, TellsCrowd: p.Domain.TellsCrowd,
		MemoryByKind: map[string]float64{},
	}
	for i, kind := range p.Kinds {
		if i < len(p.Domain.Memory) {
			s.MemoryByKind[kind] = p.Domain.Memory[i]
		}
	}
	for _, g := range p.Grades {
		c := rules.Class{Name: g.Name, Worth: g.Credit, LateWorth: g.Late, Aim: us(g.Goal), AimStretch: g.Stretch,
			Deadline: us(g.Deadline), KeyWindow: us(g.Window), Stream: g.Stream, Effect: rules.Unsafe}
		switch g.Effect {
		case "pure":
			c.Effect = rules.Safe
		case "token":
			c.Effect = rules.Keyed
		}
		switch g.Group {
		case "zone":
			c.Group = rules.GroupZone
		case "cell":
			c.Group = rules.GroupCell
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range p.Parties {
		s.Tenants = append(s.Tenants, rules.Tenant{Name: t.Name, Share: t.Share, Allowance: t.Allowance})
	}
	return s, nil
}

// Connections are the settings that only a program on real sockets needs.
type Connections struct {
	IdleClose time.Duration // workers close idle connections after this
	Streams   int           // calls on one connection
	Handshake float64       // price of a new connection, in parts of the worth of a call; 0: none
}

// ReadConnections reads them from the settings of an instance.
func ReadConnections(data json.RawMessage) (Connections, error) {
	var p struct {
		Caps struct {
			IdleClose int64 `json:"idle_close_us"`
			Streams   int   `json:"max_streams"`
		} `json:"caps"`
		Prices struct {
			Handshake float64 `json:"handshake"`
		} `json:"prices"`
	}
	err := json.Unmarshal(data, &p)
	return Connections{IdleClose: us(p.Caps.IdleClose), Streams: p.Caps.Streams, Handshake: p.Prices.Handshake}, err
}

// Encoder collects the actions that answer one batch.
type Encoder struct{ steps []any }

type step struct {
	Msg        string            `json:"msg"`
	Dispatcher int64             `json:"dispatcher"`
	MsgID      *rules.RequestID  `json:"msg_id,omitempty"`
	N          *int              `json:"n,omitempty"`
	Limit      *int64            `json:"limit_us,omitempty"`
	Runner     rules.WorkerID    `json:"runner,omitempty"`
	Function   *rules.FunctionID `json:"function,omitempty"`
	Copies     *int              `json:"copies,omitempty"`
	ComeBack   *int64            `json:"come_back_us,omitempty"`
	Span       *int64            `json:"span_us,omitempty"`
	Ref        *int64            `json:"ref,omitempty"`
	Want       *bool             `json:"want,omitempty"`
	Text       *string           `json:"text,omitempty"`
}

func micros(d time.Duration) *int64 {
	n := d.Microseconds()
	return &n
}

// Add appends the actions of one dispatcher.
func (e *Encoder) Add(dispatcher int64, actions []rules.Action) {
	for _, a := range actions {
		s := step{Dispatcher: dispatcher}
		switch a := a.(type) {
		case rules.Send:
			s.Msg, s.MsgID, s.Runner, s.Limit = "call_out", &a.ID, a.Worker, micros(a.Limit)
		case rules.Cancel:
			s.Msg, s.MsgID, s.N = "revoke", &a.ID, &a.Attempt
		case rules.Refuse:
			s.Msg, s.MsgID = "push_back", &a.ID
			if a.RetryAfter > 0 {
				s.ComeBack = micros(a.RetryAfter)
			}
		case rules.Fail:
			s.Msg, s.MsgID = "surrender", &a.ID
		case rules.Load:
			s.Msg, s.Runner, s.Function, s.Copies = "start_copy", a.Worker, &a.Function, &a.Copies
		case rules.Drop:
			s.Msg, s.Runner, s.Function = "unmount", a.Worker, &a.Function
		case rules.Wake:
			s.Msg, s.Span, s.Ref = "sleep", micros(a.After), &a.Ref
		case rules.Watch:
			s.Msg, s.Want = "stream_changes", &a.On
		case rules.Fetch:
			s.Msg = "pull"
		case rules.Log:
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
