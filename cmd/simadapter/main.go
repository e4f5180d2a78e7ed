// Command simadapter connects package balancer to the platform's simulator. It reads batches of events from standard input,
// passes each event to the balancer of the simulated dispatcher that it belongs to, and writes the balancers' actions to
// standard output, one JSON line for each batch (source: simulator protocol). Its error messages begin with "benchlink:".
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"kitefall/internal/balancer"
	"kitefall/internal/simwire"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers each batch that it reads from in with one line on out. It returns nil at the end of in.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	a := newAdapter()
	for {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if line == nil {
			return nil
		}
		reply, err := a.handle(line)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil { // the simulator waits for this reply before it sends the next batch
			return err
		}
	}
}

// readLine returns the next line with its newline, which may be absent from the last line. At the end of the input it returns
// nil.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadBytes('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(line) == 0 {
		return nil, nil
	}
	return line, nil
}

// adapter holds the state that is kept from batch to batch: the decoder's worker lists and one balancer per dispatcher.
type adapter struct {
	decoder   *simwire.Decoder
	encoder   simwire.Encoder
	balancers map[int64]*balancer.Balancer // by dispatcher number
}

func newAdapter() *adapter {
	return &adapter{decoder: simwire.NewDecoder(), balancers: map[int64]*balancer.Balancer{}}
}

// handle has the balancers handle the events of one batch, which is a line of input, and returns the line of output.
func (a *adapter) handle(line []byte) ([]byte, error) {
	batch, err := a.decoder.Decode(line)
	if err != nil {
		return nil, err
	}
	for _, event := range batch.Events {
		if err := a.handleEvent(batch, event); err != nil {
			return nil, err
		}
	}
	return a.encoder.Reply()
}

// handleEvent creates or removes the balancer of the event's dispatcher, or passes the event to it. Events for a dispatcher
// that is not up are ignored.
func (a *adapter) handleEvent(batch simwire.Batch, event simwire.Event) error {
	dispatcher := event.Dispatcher
	switch {
	case event.Up != nil:
		b, err := balancer.New(event.Up.Settings, event.Up.Seed)
		if err != nil {
			return fmt.Errorf("dispatcher %d: %w", dispatcher, err)
		}
		a.balancers[dispatcher] = b
	case event.Halt:
		delete(a.balancers, dispatcher)
	case event.Event != nil && a.balancers[dispatcher] != nil:
		a.encoder.Add(dispatcher, a.balancers[dispatcher].Handle(batch.Clock, event.Event))
	}
	return nil
}
