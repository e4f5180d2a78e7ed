package simwire

import (
	"bytes"
	"encoding/json"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/settings"
)

// Names of the messages to the simulator.
const (
	messageCallOut       = "call_out"       // forwards a request to a worker
	messageRevoke        = "revoke"         // cancels an attempt
	messagePushBack      = "push_back"      // rejects a request
	messageSurrender     = "surrender"      // fails a request
	messageStartCopy     = "start_copy"     // orders a worker to load a function
	messageUnmount       = "unmount"        // orders a worker to unload a function
	messageSleep         = "sleep"          // sets a timer
	messageStreamChanges = "stream_changes" // subscribes to changes of the endpoint list, or ends the subscription
	messagePull          = "pull"           // asks for the whole endpoint list once
	messageWriteLog      = "write_log"      // writes a line to the log
)

// outputMessage holds any message to the simulator. Each message sets only its own fields. Fields whose zero value must be
// written are pointers: nil leaves the field out.
type outputMessage struct {
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

// reply is one line to the simulator.
type reply struct {
	Messages []outputMessage `json:"steps"`
}

// Encoder collects the actions for one batch and encodes them. Its zero value is ready to use. It is not safe for concurrent use.
type Encoder struct{ messages []outputMessage }

// Add adds the actions of one dispatcher. Actions for which the simulator has no message are left out.
func (e *Encoder) Add(dispatcher int64, actions []balancer.Action) {
	for _, action := range actions {
		if message, ok := encodeAction(action); ok {
			message.Dispatcher = dispatcher
			e.messages = append(e.messages, message)
		}
	}
}

// encodeAction returns the message for an action, without its dispatcher. It returns false if there is none.
func encodeAction(action balancer.Action) (outputMessage, bool) {
	switch a := action.(type) {
	case balancer.Send:
		return outputMessage{Name: messageCallOut, RequestID: &a.ID, Worker: a.Worker, Timeout: microseconds(a.Timeout)}, true
	case balancer.Cancel:
		return outputMessage{Name: messageRevoke, RequestID: &a.ID, Attempt: &a.Attempt}, true
	case balancer.Reject:
		message := outputMessage{Name: messagePushBack, RequestID: &a.ID}
		if a.RetryAfter > 0 {
			message.RetryAfter = microseconds(a.RetryAfter)
		}
		return message, true
	case balancer.Fail:
		return outputMessage{Name: messageSurrender, RequestID: &a.ID}, true
	case balancer.Load:
		return outputMessage{Name: messageStartCopy, Worker: a.Worker, Function: &a.Function, Copies: &a.Copies}, true
	case balancer.Unload:
		return outputMessage{Name: messageUnmount, Worker: a.Worker, Function: &a.Function}, true
	case balancer.SetTimer:
		return outputMessage{Name: messageSleep, TimerAfter: microseconds(a.After), TimerID: &a.TimerID}, true
	case balancer.Watch:
		return outputMessage{Name: messageStreamChanges, WatchOn: &a.On}, true
	case balancer.Fetch:
		return outputMessage{Name: messagePull}, true
	case balancer.Log:
		return outputMessage{Name: messageWriteLog, Text: &a.Text}, true
	default:
		return outputMessage{}, false
	}
}

func microseconds(d time.Duration) *settings.Microseconds {
	m := settings.Microseconds(d.Microseconds())
	return &m
}

// Reply returns the line with all actions that were added since the last call of Reply, including its newline.
func (e *Encoder) Reply() ([]byte, error) {
	if e.messages == nil {
		e.messages = []outputMessage{} // encoded as an empty array, not as null
	}
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(reply{e.messages})
	e.messages = e.messages[:0]
	return line.Bytes(), err
}
