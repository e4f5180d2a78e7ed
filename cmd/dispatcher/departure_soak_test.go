package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// Environment variables for longer runs by hand.
const (
	departureSeedEnv    = "KITEFALL_DEPARTURE_SEED"
	departureSecondsEnv = "KITEFALL_DEPARTURE_SECONDS"
)

// The defaults of the environment variables.
const (
	defaultDepartureSeed    = 59
	defaultDepartureSeconds = 15
)

// The parameters of the draw.
const (
	departingDevices    = 24
	maxPatience         = time.Second            // a device leaves after a part of this, drawn evenly
	maxRunTime          = 300 * time.Millisecond // a worker answers after a part of this, drawn evenly
	shareStaying        = 0.2                    // of the calls, whose devices wait for the response
	shareKeyed          = 0.5                    // of the calls
	shareRepeated       = 0.5                    // of the keyed calls whose device has left, at once
	shareHTTP2          = 0.4                    // of the calls
	sharePipelined      = 0.2                    // of the other calls: a byte of a further request follows
	shareMissed         = 0.1                    // of the calls that the worker receives
	shareConnsReset     = 0.01                   // of the calls that the worker receives: their connection is reset
	protocolMeasurement = 50 * time.Millisecond  // slack of measured times (source: client protocol)
)

// environmentNumber returns the number in an environment variable, or a default.
func environmentNumber(t *testing.T, name string, byDefault uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	number, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return number
}

// departingCall is a call of a device, and what has happened to it.
type departingCall struct {
	class, body string
	leftAt      time.Time   // zero while the device waits
	repeatedAt  time.Time   // zero until the device sends the call again
	receivedAt  []time.Time // when the worker received an attempt
	runs        int         // attempts that the worker may have run
}

// departureRecord holds the calls of all devices, by body. It is safe for concurrent use.
type departureRecord struct {
	mu    sync.Mutex
	calls map[string]*departingCall
}

// update changes a call under the record's lock.
func (r *departureRecord) update(body string, change func(*departingCall)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call := r.calls[body]
	if call == nil {
		call = &departingCall{body: body}
		r.calls[body] = call
	}
	change(call)
}

// violations returns a line for each broken rule.
func (r *departureRecord) violations() (lines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, call := range r.calls {
		if call.class == "reserva" && call.runs > 1 {
			lines = append(lines, fmt.Sprintf("duplicate: %+v", call))
		}
		for _, receivedAt := range call.receivedAt {
			late := !call.leftAt.IsZero() && receivedAt.After(call.leftAt.Add(attemptGrace+protocolMeasurement))
			ofRepeat := !call.repeatedAt.IsZero() && !receivedAt.Before(call.repeatedAt)
			if late && !ofRepeat {
				lines = append(lines, fmt.Sprintf("lost: an attempt %v after its device has left: %+v", receivedAt.Sub(call.leftAt), call))
			}
		}
	}
	return lines
}

// departureSoak is a service whose devices leave at random times.
type departureSoak struct {
	*terminationTest
	record departureRecord
}

// answerCalls answers the calls that the worker receives, until the test binary exits.
func (s *departureSoak) answerCalls(random *rand.Rand) {
	for call := range s.worker.Calls {
		missed, reset := random.Float64() < shareMissed, random.Float64() < shareConnsReset
		s.record.update(call.Body, func(c *departingCall) {
			c.receivedAt = append(c.receivedAt, time.Now())
			if !missed {
				c.runs++
			}
		})
		switch {
		case missed:
			call.Answer(fakes.CodeMiss, "", "")
		case reset:
			call.ResetConn()
		default:
			time.AfterFunc(time.Duration(random.Int64N(int64(maxRunTime))), func() { call.AnswerOK(call.Body) })
		}
	}
}

// runDevice sends calls one after another until end.
func (s *departureSoak) runDevice(number int, random *rand.Rand, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		body := fmt.Sprintf(`"%d-%d"`, number, n)
		class := []string{"reserva", "consulta"}[random.IntN(2)]
		s.record.update(body, func(c *departingCall) { c.class = class })
		patience := time.Duration(random.Int64N(int64(maxPatience)))
		stays, http2 := random.Float64() < shareStaying, random.Float64() < shareHTTP2
		var headers []string
		if random.Float64() < shareKeyed {
			headers = []string{"Idempotency-Key", body}
		}
		pipelined, repeated := random.Float64() < sharePipelined, random.Float64() < shareRepeated
		switch {
		case stays:
			s.wait(class, body, http2, headers)
			continue
		case pipelined && !http2:
			s.leavePipelined(class, body, patience)
			continue
		}
		s.leave(class, body, http2, headers, patience)
		if repeated && len(headers) > 0 {
			s.record.update(body, func(c *departingCall) { c.repeatedAt = time.Now() })
			s.wait(class, body, http2, headers)
		}
	}
}

// wait sends a call and waits for its response, which must come, whole.
func (s *departureSoak) wait(class, body string, http2 bool, headers []string) {
	response := s.do(context.Background(), class, body, http2, headers)
	assert.NoError(s, response.err, "lost: no response for %s", body)
	if response.status == http.StatusOK {
		assert.Equal(s, body, response.body)
	}
}

// leave sends a call and closes its connection, or resets its stream, after patience, unless the response comes before.
func (s *departureSoak) leave(class, body string, http2 bool, headers []string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if s.do(ctx, class, body, http2, headers).err != nil {
		s.record.update(body, func(c *departingCall) { c.leftAt = time.Now() })
	}
}

// leavePipelined sends a call and a byte of a further request, and closes the connection after patience.
func (s *departureSoak) leavePipelined(class, body string, patience time.Duration) {
	conn := s.dialHTTP1()
	for _, text := range []string{httpRequest(class, body), "P"} {
		_, err := io.WriteString(conn, text)
		assert.NoError(s, err)
	}
	time.Sleep(patience)
	conn.Close()
	s.record.update(body, func(c *departingCall) { c.leftAt = time.Now() })
}

// do sends a call on a connection of its own, and returns its response.
func (s *departureSoak) do(ctx context.Context, class, body string, http2 bool, headers []string) deviceResponse {
	device := newDevice(s.T, s.authority, s.url, http2)
	conn := dial(s.T, strings.TrimPrefix(s.url, "https://"))
	defer conn.Close()
	device.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		return conn, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+invocationPath(class), strings.NewReader(body))
	assert.NoError(s, err)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return receiveResponse(device.client.Do(request))
}

// Devices of the invoke API give up at random times, with and without a key, over both HTTP versions, and some come again (the draw
// that would have shown review case 9). No attempt may begin after its device has left, no reserva may run twice, who stays gets a
// response, and in the end nothing is in progress: the process ends as soon as it is told to.
func TestDevicesLeaveAtRandomTimes(t *testing.T) {
	seed := environmentNumber(t, departureSeedEnv, defaultDepartureSeed)
	duration := time.Duration(environmentNumber(t, departureSecondsEnv, defaultDepartureSeconds)) * time.Second
	s := &departureSoak{terminationTest: newTerminationTest(t), record: departureRecord{calls: map[string]*departingCall{}}}
	go s.answerCalls(rand.New(rand.NewPCG(seed, 0)))
	go func() { // runs until the test binary exits
		for range s.worker.Cancelled { // taken so that the worker reads on
		}
	}()
	end := time.Now().Add(duration)
	var devices sync.WaitGroup
	for number := range departingDevices {
		devices.Go(func() { s.runDevice(number, rand.New(rand.NewPCG(seed, uint64(number)+1)), end) })
	}
	devices.Wait()
	time.Sleep(maxRunTime + attemptGrace) // the worker answers what it has
	terminatedAt := time.Now()
	require.NoError(t, signalSelf(syscall.SIGTERM))
	require.NoError(t, fakes.Receive(t, s.service.runErr))
	assert.Less(t, time.Since(terminatedAt), earliestKill)
	t.Logf("seed %d: %d calls, the process ended %v after SIGTERM", seed, len(s.record.calls), time.Since(terminatedAt))
	assert.Empty(t, s.record.violations())
}
