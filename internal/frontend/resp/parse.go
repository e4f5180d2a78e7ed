package resp

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
)

// The upper bounds of the numbers in a CALL request.
const (
	maxDurationMS  = 600_000 // for every duration
	maxConcurrency = 1 << 10
	maxMemoryMB    = 1 << 20
)

// The separators of the fields of a CALL request, and of the fields within its field "spec".
const (
	fieldSeparator     = ","
	fieldAssignment    = "="
	specFieldSeparator = ";"
	specAssignment     = ":"
)

// fieldError reports an invalid field of a CALL request.
type fieldError struct {
	field  string
	value  string
	reason string
}

func (e *fieldError) Error() string {
	return fmt.Sprintf("field %s=%q: %s", e.field, e.value, e.reason)
}

// parseCall builds a call from the arguments of a CALL request that follow its tag: class, fields and an optional body. It
// returns an error for every value that a worker or the balancer could not use, because a worker would answer it with an error,
// which would count against the worker. Unknown fields are ignored. Source: client protocol.
func parseCall(args [][]byte, settings *balancer.Settings, now time.Time) (*call.Call, error) {
	if len(args) < 2 || len(args) > 3 {
		return nil, fmt.Errorf("%d arguments after the tag, want a class, fields and an optional body", len(args))
	}
	parser := callParser{call: &call.Call{Class: string(args[0])}}
	if len(args) == 3 {
		parser.call.Body = args[2]
	}
	if len(parser.call.Body) > call.MaxBodyBytes {
		return nil, fmt.Errorf("the body has %d bytes, the limit is %d", len(parser.call.Body), call.MaxBodyBytes)
	}
	if err := forEachField(string(args[1]), fieldSeparator, fieldAssignment, parser.setField); err != nil {
		return nil, err
	}
	if err := parser.checkRequired(); err != nil {
		return nil, err
	}
	if err := checkClassAndTenant(parser.call, settings); err != nil {
		return nil, err
	}
	parser.call.Deadline = now.Add(parser.wait)
	return parser.call, nil
}

// callParser sets the fields of a call from the text of a CALL request.
type callParser struct {
	call  *call.Call
	hasID bool
	wait  time.Duration // how long the client waits for the answer
}

func (p *callParser) setField(name, value string) (err error) {
	switch name {
	case "id":
		p.hasID = true
		p.call.ID, err = parseID(name, value)
	case "wait":
		p.wait, err = parseMilliseconds(name, value, 1)
	case "tenant":
		p.call.Tenant = value
	case "key":
		p.call.Function = value
		_, err = parseID(name, value)
	case "once":
		p.call.IdempotencyKey = value
		if value != "" && !call.IsKey(value) {
			err = &fieldError{field: name, reason: "too long"}
		}
	case "cost":
		p.call.WorkEstimate, err = parseMilliseconds(name, value, 0)
	case "spec":
		err = forEachField(value, specFieldSeparator, specAssignment, p.setSpecField)
	}
	return err
}

// setSpecField sets one property of the loaded copies of the call's function.
func (p *callParser) setSpecField(name, value string) (err error) {
	switch name {
	case "memory_mb":
		p.call.MemoryMB, err = parseNumber(name, value, 0, maxMemoryMB)
	case "lanes":
		var lanes float64
		lanes, err = parseNumber(name, value, 1, maxConcurrency)
		p.call.Concurrency = int(lanes)
	case "load_ms":
		p.call.LoadTime, err = parseMilliseconds(name, value, 0)
	}
	return err
}

func (p *callParser) checkRequired() error {
	switch {
	case !p.hasID:
		return &fieldError{field: "id", reason: "missing"}
	case p.wait == 0:
		return &fieldError{field: "wait", reason: "missing"}
	case p.call.Function == "":
		return &fieldError{field: "key", reason: "missing"}
	}
	return nil
}

// checkClassAndTenant returns an error if the class or the tenant of a call is not in the settings. If the settings list no
// tenants, every tenant is accepted.
func checkClassAndTenant(c *call.Call, settings *balancer.Settings) error {
	hasClass := func(class balancer.Class) bool { return class.Name == c.Class }
	if !slices.ContainsFunc(settings.Classes, hasClass) {
		return fmt.Errorf("unknown class %q", c.Class)
	}
	hasTenant := func(tenant balancer.Tenant) bool { return tenant.Name == c.Tenant }
	if len(settings.Tenants) > 0 && !slices.ContainsFunc(settings.Tenants, hasTenant) {
		return fmt.Errorf("unknown tenant %q", c.Tenant)
	}
	return nil
}

// parseID parses 16 hex digits, as the protocols write the ids of requests and the keys of functions.
func parseID(name, value string) (uint64, error) {
	if !call.IsHexID(value) {
		return 0, &fieldError{field: name, value: value, reason: "must be 16 hex digits"}
	}
	return strconv.ParseUint(value, 16, 64)
}

func parseMilliseconds(name, value string, minimum float64) (time.Duration, error) {
	milliseconds, err := parseNumber(name, value, minimum, maxDurationMS)
	return time.Duration(milliseconds * float64(time.Millisecond)), err
}

// parseNumber parses a number and checks that it is between minimum and maximum, both included.
func parseNumber(name, value string, minimum, maximum float64) (float64, error) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		return 0, &fieldError{field: name, value: value, reason: "must be a number"}
	}
	if number < minimum || number > maximum {
		return 0, &fieldError{field: name, value: value, reason: fmt.Sprintf("must be from %v to %v", minimum, maximum)}
	}
	return number, nil
}

// forEachField calls visit for each name and value in a list of fields. A name that occurs twice and a name without a value are
// errors.
func forEachField(list, separator, assignment string, visit func(name, value string) error) error {
	seen := map[string]bool{}
	for _, field := range strings.Split(list, separator) {
		name, value, ok := strings.Cut(field, assignment)
		if !ok {
			return &fieldError{field: name, reason: "has no value"}
		}
		if seen[name] {
			return &fieldError{field: name, value: value, reason: "is given twice"}
		}
		seen[name] = true
		if err := visit(name, value); err != nil {
			return err
		}
	}
	return nil
}
