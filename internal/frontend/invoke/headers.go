package invoke

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"kitefall/internal/invocation"
)

// The headers of a request to invoke a function.
const (
	timeoutHeader        = "Request-Timeout" // seconds until the deadline that the client asks for
	delayHeader          = "Request-Delay"   // seconds before which no run of a deferred invocation begins
	idempotencyKeyHeader = "Idempotency-Key"
	priorityHeader       = "Priority" // RFC 9218
	preferHeader         = "Prefer"   // RFC 7240
)

// The preferences that are understood.
const (
	preferAsync = "respond-async"
	preferWait  = "wait"
)

// maxSeconds bounds the durations that a client may ask for.
const maxSeconds = 86400

// maxUrgency is the least urgent value of the Priority header's parameter u.
const maxUrgency = 7

// parseSeconds reads a header that is a number of seconds above 0; it returns 0 if there is none.
func parseSeconds(header http.Header, name string) (time.Duration, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	inRange := seconds > 0 && seconds <= maxSeconds // false for NaN
	if err != nil || !inRange {
		return 0, badRequest(name + " is a number of seconds above 0")
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseUrgency reads the parameter u of the Priority header. What cannot be read counts as absent, as RFC 9218, section
// 4, has it.
func parseUrgency(header http.Header) invocation.Urgency {
	members := strings.Join(header.Values(priorityHeader), ",")
	for _, member := range strings.Split(members, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
		urgency, err := strconv.Atoi(value)
		valid := err == nil && urgency >= 0 && urgency <= maxUrgency
		if name == "u" && valid {
			return invocation.Urgency(urgency)
		}
	}
	return invocation.DefaultUrgency
}

// parsePreferences reads the Prefer header, by RFC 7240, into values by name. Of several with one name the first
// counts.
func parsePreferences(header http.Header) map[string]string {
	preferences := map[string]string{}
	for _, line := range header.Values(preferHeader) {
		for _, preference := range strings.Split(line, ",") {
			preference, _, _ = strings.Cut(preference, ";") // without its parameters
			name, value, _ := strings.Cut(preference, "=")
			name = strings.ToLower(strings.TrimSpace(name))
			_, seen := preferences[name]
			if name != "" && !seen {
				preferences[name] = strings.Trim(strings.TrimSpace(value), `"`)
			}
		}
	}
	return preferences
}

// preferredWait returns how long the client prefers to wait for an outcome, within the operator's bound; 0 if it does not
// say.
func (s *Server) preferredWait(preferences map[string]string) (time.Duration, error) {
	text, ok := preferences[preferWait]
	if !ok {
		return 0, nil
	}
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return 0, badRequest("Prefer: wait is a whole number of seconds")
	}
	wait := time.Duration(min(seconds, maxSeconds)) * time.Second
	return min(wait, s.config.MaxWait), nil
}
