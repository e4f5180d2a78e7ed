package simwire

import (
	"bytes"
	"encoding/json"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/settings"
)

// The messages that the simulator understands.
const (
	messageCallOut       = "call_out"       // forwards a request to a worker
	messageRevoke        = "revoke"         // cancels an attempt
	messagePushBack      = "push_back"      // rejects a request
	messageSurrender     = "surrender"      // fails a request
	messageStartCopy     = "start_copy"     // orders a worker to load a function
	messageUnmount       = "unmount"        // orders a worker to unload a function
	messageSleep         = "sleep"          // sets a timer
	messageStreamChanges = "stream_changes" // asks for changes of the endpoint list, or no more of them
	messagePull          = "pull"           // asks for the whole endpoint list
	messageWriteLog      = "write_log"      // writes a line to the log
)

// step is the union of all messages to the simulator. Each kind of action sets its own fields; pointers tell a zero, which
// is written, from an absent field.
type step struct {
	Name       string                 `json:"msg"`
	Dispatcher int64                  `json:"dispatcher"`
	RequestID  *balancer.RequestID    `json:"msg_id,omitempty"`
	Attempt    *int                   `json:"n,omitempty"`
	Timeout    *settings.Microseconds `json:"limit_us,omitempty"`
	Worker     balancer.WorkerID      `json:"runner,omitempty"`
	Function   *balancer.FunctionID   `json:"function,omitempty"`
	Copies     *int                   `json:"copies,omitempty"`
	RetryAfter *settings.Microseconds `json:"come_back_us,omitempty"`
	TimerAfter *settings.Microseconds `json:"span_us,omitempty"`
	TimerID    *int64                 `json:"ref,omitempty"`
	WatchOn    *bool                  `json:"want,omitempty"`
	Text       *string                `json:"text,omitempty"`
}

// reply is one line of output.
type reply struct {
	Steps []step `json:"steps"`
}

// Encoder collects the actions that answer one batch. Its zero value is ready to use. It is not safe for concurrent use.
type Encoder struct{ steps []step }

// Add appends the actions of one dispatcher. Actions without a meaning in the simulator are left out.
func (e *Encoder) Add(dispatcher int64, actions []balancer.Action) {
	for _, action := range actions {
		if s, ok := encodeAction(action); ok {
			s.Dispatcher = dispatcher
			e.steps = append(e.steps, s)
		}
	}
}

// encodeAction returns the message for an action, without its dispatcher, and whether there is one.
func encodeAction(action balancer.Action) (step, bool) {
	switch a := action.(type) {
	case balancer.Send:
		return step{Name: messageCallOut, RequestID: &a.ID, Worker: a.Worker, Timeout: microseconds(a.Timeout)}, true
	case balancer.Cancel:
		return step{Name: messageRevoke, RequestID: &a.ID, Attempt: &a.Attempt}, true
	case balancer.Reject:
		s := step{Name: messagePushBack, RequestID: &a.ID}
		if a.RetryAfter > 0 {
			s.RetryAfter = microseconds(a.RetryAfter)
		}
		return s, true
	case balancer.Fail:
		return step{Name: messageSurrender, RequestID: &a.ID}, true
	case balancer.Load:
		return step{Name: messageStartCopy, Worker: a.Worker, Function: &a.Function, Copies: &a.Copies}, true
	case balancer.Unload:
		return step{Name: messageUnmount, Worker: a.Worker, Function: &a.Function}, true
	case balancer.SetTimer:
		return step{Name: messageSleep, TimerAfter: microseconds(a.After), TimerID: &a.TimerID}, true
	case balancer.Watch:
		return step{Name: messageStreamChanges, WatchOn: &a.On}, true
	case balancer.Fetch:
		return step{Name: messagePull}, true
	case balancer.Log:
		return step{Name: messageWriteLog, Text: &a.Text}, true
	default:
		return step{}, false
	}
}

func microseconds(d time.Duration) *settings.Microseconds {
	m := settings.Microseconds(d.Microseconds())
	return &m
}

// Reply returns the line for all actions added since the last call, with its newline.
func (e *Encoder) Reply() ([]byte, error) {
	if e.steps == nil {
		e.steps = []step{} // encoded as an empty array, not as null
	}
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(reply{e.steps})
	e.steps = e.steps[:0]
	return line.Bytes(), err
}
