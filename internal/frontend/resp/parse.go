package resp

import (
	"bytes"
	"errors"
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

// maxFields is the maximum number of fields of a CALL request, and of fields within its field "spec".
const maxFields = 64

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

// The arguments of a CALL request, in their order. The body is optional.
const (
	argumentCommand = iota
	argumentTag
	argumentClass
	argumentFields
	argumentBody
	callArguments
)

// Errors of CALL requests.
var (
	errArgumentCount = errors.New("want a class, fields and an optional body after the tag")
	errTooLarge      = errors.New("the request, its fields or its body are too large")
	errTooManyFields = fmt.Errorf("more than %d fields", maxFields)
)

// parseCall builds a call from a CALL request. It returns an error for every value that a worker or the balancer could not use,
// because a worker would answer it with an error, which would count against the worker. Unknown fields are ignored. The call holds
// no memory of the request. Source: client protocol.
func parseCall(received request, settings *balancer.Settings, now time.Time) (*call.Call, error) {
	args := received.arguments
	if len(args) != callArguments && len(args) != callArguments-1 {
		return nil, errArgumentCount
	}
	var body []byte
	if len(args) == callArguments {
		body = args[argumentBody]
	}
	if received.truncated || len(args[argumentFields]) > maxFieldsBytes || len(body) > call.MaxBodyBytes {
		return nil, errTooLarge
	}
	parser := callParser{call: &call.Call{Class: string(args[argumentClass])}}
	if err := forEachField(string(args[argumentFields]), fieldSeparator, fieldAssignment, parser.setField); err != nil {
		return nil, err
	}
	if err := parser.checkRequired(); err != nil {
		return nil, err
	}
	if err := checkClassAndTenant(parser.call, settings); err != nil {
		return nil, err
	}
	parser.call.Deadline = now.Add(parser.wait)
	parser.call.Body = bytes.Clone(body)
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
		p.call.Tenant = strings.Clone(value)
	case "key":
		p.call.Function = strings.Clone(value)
		_, err = parseID(name, value)
	case "once":
		p.call.IdempotencyKey = strings.Clone(value)
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
// errors, and so are more than maxFields fields.
func forEachField(list, separator, assignment string, visit func(name, value string) error) error {
	var names [maxFields]string
	count := 0
	for field := range strings.SplitSeq(list, separator) {
		name, value, ok := strings.Cut(field, assignment)
		if !ok {
			return &fieldError{field: name, reason: "has no value"}
		}
		if count == maxFields {
			return errTooManyFields
		}
		if slices.Contains(names[:count], name) {
			return &fieldError{field: name, value: value, reason: "is given twice"}
		}
		names[count] = name
		count++
		if err := visit(name, value); err != nil {
			return err
		}
	}
	return nil
}
