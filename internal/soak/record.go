package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// WorkerEventKind is the kind of an event at a worker.
type WorkerEventKind string

// The kinds of worker events.
const (
	WorkerStarted   WorkerEventKind = "started" // the worker listens at all its addresses
	CallArrived     WorkerEventKind = "call"    // a call frame was read whole
	CallStarted     WorkerEventKind = "run"     // a call begins to run
	LoadArrived     WorkerEventKind = "load"    // a load order was read whole
	FrameUnreadable WorkerEventKind = "frame"   // a frame could not be read
)

// WorkerEvent is one line of the record of a worker's process.
type WorkerEvent struct {
	At         time.Duration   `json:"at"`
	Kind       WorkerEventKind `json:"kind"`
	Worker     string          `json:"worker"`
	Dispatcher int             `json:"dispatcher"` // each dispatcher has its own address at the worker
	Call       uint64          `json:"call,omitempty"`
	Class      string          `json:"class,omitempty"`
	Function   string          `json:"function,omitempty"`
	Timeout    time.Duration   `json:"max,omitempty"`    // a call's time limit, from its arrival
	Copies     int             `json:"copies,omitempty"` // number ordered; 0: the order only asks whether the function is loaded
}

// readWorkerEvents reads the record of a worker's process. A last line that is cut off is ignored: the process was killed while
// writing it.
func readWorkerEvents(path string) ([]WorkerEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	decoder := json.NewDecoder(bufio.NewReader(file))
	var events []WorkerEvent
	for {
		var e WorkerEvent
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, e)
	}
}

// Request is what a client recorded of one request.
type Request struct {
	ID         uint64
	Dispatcher int
	Run        int // number of the dispatcher's process
	Class      string
	Function   string
	Wait       time.Duration   // how long the client waits for the answer, from Sent
	Sent       time.Duration   // when its last byte was written; 0: it was not sent
	Answers    []time.Duration // when each answer arrived
	Outcomes   []string        // the outcome word of each answer
	WrongBody  bool            // the answer is wordOK, with a body that no worker returned for this request
	ClientLeft time.Duration   // when the client cancelled it or closed its connection; 0: it did neither
	ConnEnded  time.Duration   // when the dispatcher ended the connection before an answer; 0: it did not
	// OpenAtEnd is how many requests on the connection had no answer when the dispatcher ended it. EndedUnread is true if the
	// dispatcher had not read the last of them.
	OpenAtEnd   int
	EndedUnread bool
}

// served reports whether the first answer was wordOK.
func (r *Request) served() bool { return len(r.Outcomes) > 0 && r.Outcomes[0] == wordOK }

// DispatcherRun is one process of a dispatcher.
type DispatcherRun struct {
	Dispatcher  int
	Run         int // number of the process, from 0
	Started     time.Duration
	ListTakenAt time.Duration // when its start list was taken; 0: it is the first list
	Terminated  time.Duration // when SIGTERM was first sent; 0: never
	Killed      time.Duration // when SIGKILL was sent; 0: never
	Ended       time.Duration
	Crash       string // how it ended without a signal, or failed after SIGTERM; empty: it did neither
	// Descriptors and MemoryMB are the largest values that were measured.
	Descriptors    int
	MemoryMB       int
	Shortages      int // lines of its log that report a shortage of descriptors
	StoppedChoices int // lines of its log that report a choice which was not carried out, as it would have broken a rule
}

// Evacuation is an operators' call to a dispatcher to close its client connections, and the problems found after it.
type Evacuation struct {
	Dispatcher int
	Run        int
	CalledAt   time.Duration // when the call was made
	Problems   []string      // deviations from the operation page
}

// Notification is the time from which a worker's state counts as known to a dispatcher's process.
type Notification struct {
	Dispatcher int
	Run        int
	Worker     string
	State      string
	BootMS     int64 // wall-clock time of the worker's start, in ms; 0: the state does not come from a start
	// KnownAt is when the state was delivered, or notificationDeadline after the change if that is earlier. For a state in a start
	// list it is when the list was taken.
	KnownAt time.Duration
}

// ListChange is the state that a worker has in the endpoint list from a time on.
type ListChange struct {
	Worker string
	State  string
	At     time.Duration // 0: from the first list on
}

// Freeze is a period in which a worker's process was stopped (SIGSTOP).
type Freeze struct {
	Worker string
	Begin  time.Duration
	End    time.Duration
}

// History is everything that was recorded in a run.
type History struct {
	Rules         Rules
	Workers       []WorkerEvent
	Requests      []*Request
	Dispatchers   []DispatcherRun
	Notifications []Notification
	ListChanges   []ListChange // in order of time
	Freezes       []Freeze
	Evacuations   []Evacuation
	Outages       []Outage
	Limits        Limits
	KillDelay     time.Duration  // the shortest time from SIGTERM to SIGKILL
	Faults        map[string]int // faults injected, by kind
}
