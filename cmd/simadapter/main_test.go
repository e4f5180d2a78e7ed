package main

import (
	"bytes"
	"strings"
	"testing"
)

// upEvent is an event that starts dispatcher 1 with valid settings.
const upEvent = `{"msg":"up","dispatcher":1,"rng_seed":1,"profile_data":{"caps":{"try_limit":1},` +
	`"grades":[{"name":"x","effect":"pure","deadline_us":1000000,"goal_time_us":500000}]}}`

func TestRunAnswersEachBatch(t *testing.T) {
	input := `{"clock_us":1,"events":[]}
{"clock_us":2,"events":[` + upEvent + `]}
{"clock_us":3,"events":[{"msg":"client_left","dispatcher":9,"msg_id":1},{"msg":"client_left","dispatcher":1,"msg_id":1}]}
{"clock_us":4,"events":[{"msg":"halt","dispatcher":1},{"msg":"wake","dispatcher":1,"ref":1}]}
`
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(out.String(), "\n"); len(lines) != 5 || lines[0] != `{"steps":[]}` || lines[3] != `{"steps":[]}` {
		t.Errorf("replies %q", lines)
	}
}

func TestRunRejectsBadInput(t *testing.T) {
	for _, input := range []string{"nonsense\n", "\n", `{"clock_us":1,"events":[{"msg":"up","profile_data":{}}]}` + "\n"} {
		if err := run(strings.NewReader(input), &bytes.Buffer{}); err == nil {
			t.Errorf("%q: no error", input)
		}
	}
}
