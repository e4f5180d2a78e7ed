// Command simadapter connects the decision module to the platform's simulator. It reads batches of events from standard
// input, has one balancer for each simulated dispatcher handle them, and writes the actions to standard output, one JSON
// line for each batch (source: simulator protocol). Its error messages begin with benchlink.
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

// bufferSize is the size, in bytes, of the buffers for input and output.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
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
		if err := writer.Flush(); err != nil { // the simulator waits for the reply
			return err
		}
	}
}

// readLine returns the next line, or nil at the end of the input. The last line may lack its newline.
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

// adapter holds the state between batches.
type adapter struct {
	decoder   *simwire.Decoder
	encoder   simwire.Encoder
	balancers map[int64]*balancer.Balancer // by dispatcher
}

func newAdapter() *adapter {
	return &adapter{decoder: simwire.NewDecoder(), balancers: map[int64]*balancer.Balancer{}}
}

// handle returns the reply to one batch.
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
