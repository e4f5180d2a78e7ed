// Benchlink runs the decision module for many dispatchers, with batches of events on standard input and
// replies on standard output, one JSON line each.
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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	decoder, encoder := simwire.NewDecoder(), &simwire.Encoder{}
	instances := map[int64]*balancer.Balancer{}
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		batch, err := decoder.Decode(line)
		if err != nil {
			return err
		}
		for _, e := range batch.Events {
			switch {
			case e.Up != nil:
				b, err := balancer.New(e.Up.Settings, e.Up.Seed)
				if err != nil {
					return fmt.Errorf("dispatcher %d: %w", e.Dispatcher, err)
				}
				instances[e.Dispatcher] = b
			case e.Halt:
				delete(instances, e.Dispatcher)
			case e.Event != nil && instances[e.Dispatcher] != nil:
				encoder.Add(e.Dispatcher, instances[e.Dispatcher].Handle(batch.Clock, e.Event))
			}
		}
		reply, err := encoder.Reply()
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
