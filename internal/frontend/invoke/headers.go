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
	timeoutHeader        = "Request-Timeout" // time limit of the invocation, in seconds from receipt
	delayHeader          = "Request-Delay"   // earliest run of a deferred invocation, in seconds from receipt
	idempotencyKeyHeader = "Idempotency-Key"
	priorityHeader       = "Priority" // RFC 9218
	preferHeader         = "Prefer"   // RFC 7240
)

// The preferences of the Prefer header that the server supports.
const (
	preferAsync = "respond-async"
	preferWait  = "wait"
)

// maxDurationSeconds is the longest duration that a header may request: one day. A longer Prefer: wait is capped to it, a
// longer timeout or delay is rejected.
const maxDurationSeconds = 86400

// maxUrgency is the least urgent value of the Priority header's parameter u.
const maxUrgency = 7

// parseSeconds parses a header whose value is a positive number of seconds. It returns 0 if the header is absent.
func parseSeconds(header http.Header, name string) (time.Duration, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	inRange := seconds > 0 && seconds <= maxDurationSeconds // both comparisons are false for NaN
	if err != nil || !inRange {
		return 0, badRequest(name + " is a number of seconds above 0")
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseUrgency returns the parameter u of the Priority header. An invalid value counts as absent, as RFC 9218, section 4,
// requires.
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

// parsePreferences parses the Prefer header (RFC 7240) and returns the values by preference name. If a preference occurs
// more than once, its first value counts.
func parsePreferences(header http.Header) map[string]string {
	preferences := map[string]string{}
	for _, line := range header.Values(preferHeader) {
		for _, preference := range strings.Split(line, ",") {
			preference, _, _ = strings.Cut(preference, ";") // drop the preference's parameters
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

// preferredWait returns how long the client prefers to wait for an outcome, capped at the operator's maximum. It returns 0
// if the client states no wait.
func (s *Server) preferredWait(preferences map[string]string) (time.Duration, error) {
	text, ok := preferences[preferWait]
	if !ok {
		return 0, nil
	}
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return 0, badRequest("Prefer: wait is a whole number of seconds")
	}
	wait := time.Duration(min(seconds, maxDurationSeconds)) * time.Second
	return min(wait, s.config.MaxWait), nil
}
