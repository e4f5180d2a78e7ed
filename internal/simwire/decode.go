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

// Decoder decodes batches. It stores the worker lists to which events refer by ID. It is not safe for concurrent use.
type Decoder struct {
	lists map[int][]balancer.Worker
}

// NewDecoder returns a Decoder without worker lists.
func NewDecoder() *Decoder { return &Decoder{lists: map[int][]balancer.Worker{}} }

// Decode decodes one line. It fails if the line is not a batch or starts a dispatcher with invalid settings. Unknown fields are
// ignored.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw struct {
		Clock  *settings.Microseconds `json:"clock_us"`
		Events *[]inputMessage        `json:"events"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("the line is not a batch: %w", err)
	}
	if raw.Clock == nil || raw.Events == nil {
		return Batch{}, errors.New("the line is not a batch: clock_us or events is missing")
	}
	batch := Batch{Clock: raw.Clock.Duration()}
	for i := range *raw.Events {
		m := &(*raw.Events)[i]
		if m.Name == messageCatalog {
			d.lists[m.ListID] = decodeWorkers(m.Entries)
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

func (d *Decoder) decodeEvent(m *inputMessage) (Event, error) {
	event := Event{Dispatcher: m.Dispatcher}
	switch m.Name {
	case messageUp:
		s, err := settings.Parse(m.Settings)
		if err != nil {
			return Event{}, fmt.Errorf("invalid settings of dispatcher %d: %w", m.Dispatcher, err)
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
func (d *Decoder) decodeBalancerEvent(m *inputMessage) balancer.Event {
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

// decodeEndpoints returns nil for an unknown scope.
func (d *Decoder) decodeEndpoints(m *inputMessage) balancer.Event {
	scope, known := updateScopes[m.Scope]
	switch {
	case !known:
		return nil
	case scope == balancer.ScopeFailed:
		return balancer.EndpointsEvent{Scope: scope}
	default:
		return balancer.EndpointsEvent{Scope: scope, Workers: d.lists[m.ListID]}
	}
}

func (m *inputMessage) requestEvent() balancer.RequestEvent {
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

func (m *inputMessage) outcomeEvent() balancer.OutcomeEvent {
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

func (m *inputMessage) loadEndedEvent() balancer.LoadEndedEvent {
	return balancer.LoadEndedEvent{
		Worker:   m.Worker,
		Function: m.Function,
		Status:   statuses[m.Code],
		Elapsed:  m.Elapsed.Duration(),
		Copies:   m.Copies,
	}
}

// decodeSeed decodes a signed or unsigned integer of 64 bits. For any other value it returns 0.
func decodeSeed(n json.Number) uint64 {
	if unsigned, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
		return unsigned
	}
	signed, _ := n.Int64()
	return uint64(signed)
}

func decodeWorkers(entries []listEntry) []balancer.Worker {
	workers := make([]balancer.Worker, 0, len(entries))
	for _, entry := range entries {
		worker := balancer.Worker{
			ID:      entry.ID,
			State:   entry.state(),
			Kind:    entry.Kind,
			Zone:    entry.Zone,
			Cell:    entry.Cell,
			Weight:  1,
			Started: entry.StartedAt.Duration(),
		}
		if entry.Weight != nil {
			worker.Weight = *entry.Weight
		}
		workers = append(workers, worker)
	}
	return workers
}

// state returns the state for the condition. An unknown condition counts as draining: the worker gets no new requests, but those
// in flight continue.
func (e *listEntry) state() balancer.WorkerState {
	switch e.Condition {
	case "healthy":
		return balancer.Ready
	case "deregistered":
		return balancer.Removed
	default:
		return balancer.Draining
	}
}
