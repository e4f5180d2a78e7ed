package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/settings"
)

// Decoder decodes batches. It keeps the numbered worker lists that events refer to. It is not safe for concurrent use.
type Decoder struct {
	lists map[int][]balancer.Worker
}

// NewDecoder returns a Decoder that knows no lists.
func NewDecoder() *Decoder { return &Decoder{lists: map[int][]balancer.Worker{}} }

// Decode decodes one line. A line that is no batch, or starts a dispatcher with invalid settings, is an error; unknown
// fields are ignored.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw struct {
		Clock  *settings.Microseconds `json:"clock_us"`
		Events *[]message             `json:"events"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a batch: %w", err)
	}
	if raw.Clock == nil || raw.Events == nil {
		return Batch{}, errors.New("not a batch: clock_us or events is missing")
	}
	batch := Batch{Clock: raw.Clock.Duration()}
	for i := range *raw.Events {
		m := &(*raw.Events)[i]
		if m.Name == messageCatalog {
			d.lists[m.ListNumber] = decodeWorkers(m.Members)
			continue
		}
		event, err := d.decodeEvent(m)
		if err != nil {
			return Batch{}, err
		}
		batch.Events = append(batch.Events, event)
	}
	return batch, nil
}

func (d *Decoder) decodeEvent(m *message) (Event, error) {
	event := Event{Dispatcher: m.Dispatcher}
	switch m.Name {
	case messageUp:
		s, err := settings.Parse(m.Settings)
		if err != nil {
			return Event{}, fmt.Errorf("settings of dispatcher %d: %w", m.Dispatcher, err)
		}
		event.Up = &Up{Seed: decodeSeed(m.Seed), Settings: s}
	case messageHalt:
		event.Halt = true
	default:
		event.Event = d.decodeBalancerEvent(m)
	}
	return event, nil
}

// decodeBalancerEvent returns nil for an unknown message.
func (d *Decoder) decodeBalancerEvent(m *message) balancer.Event {
	switch m.Name {
	case messageBackendsChanged:
		return d.decodeEndpoints(m)
	case messageIncoming:
		return m.requestEvent()
	case messageFinished:
		return m.outcomeEvent()
	case messageEstablished:
		return balancer.StreamStartedEvent{ID: m.RequestID, Attempt: m.Attempt, Worker: m.Worker, Elapsed: m.Elapsed.Duration()}
	case messageClientLeft:
		return balancer.ClientGoneEvent{ID: m.RequestID}
	case messageStands:
		return m.loadEndedEvent()
	case messageWake:
		return balancer.TimerEvent{TimerID: m.TimerID}
	default:
		return nil
	}
}

// decodeEndpoints returns nil where the scope is unknown.
func (d *Decoder) decodeEndpoints(m *message) balancer.Event {
	scope, known := updateScopes[m.Scope]
	switch {
	case !known:
		return nil
	case scope == balancer.ScopeFailed:
		return balancer.EndpointsEvent{Scope: scope}
	default:
		return balancer.EndpointsEvent{Scope: scope, Workers: d.lists[m.ListNumber]}
	}
}

func (m *message) requestEvent() balancer.RequestEvent {
	tenant, _ := m.Tenant.(string)
	return balancer.RequestEvent{
		ID:           m.RequestID,
		Function:     m.Function,
		Class:        m.Class,
		Tenant:       tenant,
		TimeLeft:     m.TimeLeft.Duration(),
		MemoryMB:     m.MemoryMB,
		Concurrency:  int(m.Concurrency),
		LoadTime:     time.Duration(m.LoadTimeMS * float64(time.Millisecond)),
		WorkEstimate: m.WorkEstimate.Duration(),
		Retry:        m.Retry,
	}
}

func (m *message) outcomeEvent() balancer.OutcomeEvent {
	return balancer.OutcomeEvent{
		ID:         m.RequestID,
		Attempt:    m.Attempt,
		Worker:     m.Worker,
		Status:     statuses[m.Code],
		Elapsed:    m.Elapsed.Duration(),
		Answered:   m.Answered,
		Warmth:     balancer.Warmth(m.Detail & detailWarmthMask),
		QueueDepth: m.Detail >> detailWarmthBits,
	}
}

func (m *message) loadEndedEvent() balancer.LoadEndedEvent {
	return balancer.LoadEndedEvent{
		Worker:   m.Worker,
		Function: m.Function,
		Status:   statuses[m.Code],
		Elapsed:  m.Elapsed.Duration(),
		Copies:   m.Copies,
	}
}

// decodeSeed accepts signed and unsigned integers of 64 bits. Anything else counts as 0.
func decodeSeed(n json.Number) uint64 {
	if unsigned, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
		return unsigned
	}
	signed, _ := n.Int64()
	return uint64(signed)
}

func decodeWorkers(members []member) []balancer.Worker {
	workers := make([]balancer.Worker, 0, len(members))
	for _, m := range members {
		worker := balancer.Worker{
			ID:      m.ID,
			State:   m.state(),
			Kind:    m.Kind,
			Zone:    m.Zone,
			Cell:    m.Cell,
			Weight:  1,
			Started: m.StartedAt.Duration(),
		}
		if m.Weight != nil {
			worker.Weight = *m.Weight
		}
		workers = append(workers, worker)
	}
	return workers
}

// state takes an unknown condition for draining: no new requests, but those in flight go on.
func (m *member) state() balancer.WorkerState {
	switch m.Condition {
	case "healthy":
		return balancer.Ready
	case "deregistered":
		return balancer.Removed
	default:
		return balancer.Draining
	}
}
