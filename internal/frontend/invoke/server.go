package invoke

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"github.com/spiffe/go-spiffe/v2/workloadapi"
	"golang.org/x/net/netutil"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/logthrottle"
)

const (
	timeoutHeader = "Request-Timeout" // seconds until the deadline that the client asks for
	delayHeader   = "Request-Delay"   // seconds before which no run of a deferred call begins
	keyHeader     = "Idempotency-Key"
	urgencyHeader = "Priority" // RFC 9218
	mostKey       = 255
	slack         = 250 * time.Millisecond // past a call's deadline, for its answer to be stored
	readBy        = 10 * time.Second       // poor links are slow, but a request is small
	mostHeader    = 16 << 10
	mostSeconds   = 86400
	mostStreams   = 64 // of one HTTP/2 connection
)

// turnedAway is the log line of peers that are nobody's.
var turnedAway = logthrottle.New()

// Server answers the invoke API.
type Server struct {
	config *Config
	desk   *executor.Executor
	http   *http.Server
	room   chan struct{}
	ending atomic.Bool
}

// Identity is where the server's own SVID and the trust bundles come from: the Workload API.
type IdentitySource interface {
	x509svid.Source
	x509bundle.Source
}

// Identify waits for the first SVID of the Workload API.
func WaitForIdentity(ctx context.Context, addr string) (*workloadapi.X509Source, error) {
	return workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(addr)))
}

// New returns a server; Serve starts it.
func New(c *Config, d *executor.Executor, id IdentitySource) *Server {
	s := &Server{config: c, desk: d, room: make(chan struct{}, c.MaxInFlight)}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/functions/{function}/invocations", s.methods(map[string]handler{http.MethodPost: s.create}))
	mux.HandleFunc("/v1/invocations/{ticket}", s.methods(map[string]handler{http.MethodGet: s.poll,
		http.MethodDelete: s.giveUp}))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { notFound().write(w) })
	conf := tlsconfig.MTLSServerConfig(id, id, tlsconfig.AuthorizeAny())
	conf.MinVersion = tls.VersionTLS12
	// A resumed session would skip the check of the peer's SVID: it could outlive a bundle that was withdrawn.
	conf.SessionTicketsDisabled = true
	s.http = &http.Server{Handler: mux, TLSConfig: conf, ReadHeaderTimeout: readBy, MaxHeaderBytes: mostHeader,
		IdleTimeout: time.Minute, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: mostStreams}}
	return s
}

// Serve answers on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.ServeTLS(netutil.LimitListener(ln, s.config.MaxConns), "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Finish refuses new calls from now on, so that those in hand can come to their end.
func (s *Server) Drain() { s.ending.Store(true) }

// Shutdown takes no new connections and waits for the requests in hand, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

type handler func(w http.ResponseWriter, r *http.Request, tenant string) *problem

// methods chooses by method, after it has found the tenant and room for the request.
func (s *Server) methods(by map[string]handler) http.HandlerFunc {
	var allowed []string
	for m := range by {
		allowed = append(allowed, m)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		do, ok := by[r.Method]
		if !ok {
			w.Header().Set("Allow", strings.Join(allowed, ", "))
			newProblem(http.StatusMethodNotAllowed, "method", "The method is not for this resource").write(w)
			return
		}
		tenant, err := s.tenant(r)
		if err != nil {
			turnedAway.Log(slog.LevelWarn, "invoke: turned away", "addr", r.RemoteAddr, "err", err)
			newProblem(http.StatusForbidden, "forbidden", "The SPIFFE ID is that of no tenant").write(w)
			return
		}
		select {
		case s.room <- struct{}{}:
			defer func() { <-s.room }()
		default: // refused at once: a request in hand holds a body and a goroutine
			refused(time.Now().Add(time.Second)).write(w)
			return
		}
		if p := do(w, r, tenant); p != nil {
			p.write(w)
		}
	}
}

func (s *Server) tenant(r *http.Request) (string, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("no peer certificate")
	}
	id, err := x509svid.IDFromCert(r.TLS.PeerCertificates[0])
	if err != nil {
		return "", err
	}
	tenant, ok := s.config.ids[id]
	if !ok {
		return "", fmt.Errorf("%s is that of no tenant", id)
	}
	return tenant, nil
}

func path(ticket string) string { return "/v1/invocations/" + ticket }

// create takes an invocation. A synchronous one is created and waited for.
func (s *Server) create(w http.ResponseWriter, r *http.Request, tenant string) *problem {
	now := time.Now()
	if s.ending.Load() {
		return refused(now.Add(time.Second)).because("the dispatcher is being restarted")
	}
	prefer := preferences(r)
	_, async := prefer["respond-async"]
	o, p := s.order(w, r, tenant, async, now)
	if p != nil {
		return p
	}
	until, p := s.until(prefer, now)
	if p != nil {
		return p
	}
	if !async {
		ctx, cancel := context.WithDeadline(r.Context(), o.Expires.Add(slack))
		defer cancel()
		v, err := s.desk.Invoke(ctx, o)
		return s.tell(w, v, err)
	}
	v, err := s.desk.Submit(o)
	if err == nil {
		w.Header().Set("Preference-Applied", "respond-async")
		if until.After(now) {
			return s.show(w, r, until, tenant, v.ID)
		}
	}
	return s.tell(w, v, err)
}

// until is how long the client prefers to wait, within the operator's bound; now, if it does not say.
func (s *Server) until(prefer map[string]string, now time.Time) (time.Time, *problem) {
	text, ok := prefer["wait"]
	if !ok {
		return now, nil
	}
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return now, badRequest("Prefer: wait is a whole number of seconds")
	}
	return now.Add(min(time.Duration(min(seconds, mostSeconds))*time.Second, s.config.MaxWait)), nil
}

// order reads and checks a request. What the workers need to know comes from the catalogue alone.
func (s *Server) order(w http.ResponseWriter, r *http.Request, tenant string, async bool, now time.Time) (invocation.Request, *problem) {
	name := r.PathValue("function")
	f := s.config.Functions[name]
	if f == nil {
		return invocation.Request{}, notFound()
	}
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != f.ContentType || r.Header.Get("Content-Encoding") != "" {
		return invocation.Request{}, newProblem(http.StatusUnsupportedMediaType, "media-type",
			"The function takes "+f.ContentType+" as it is")
	}
	key := r.Header.Get(keyHeader)
	if len(key) > mostKey || len(r.Header.Values(keyHeader)) > 1 {
		return invocation.Request{}, badRequest(keyHeader + " is too long, or given twice")
	}
	o := invocation.Request{Tenant: tenant, IdempotencyKey: key, Function: name, Class: f.Class, Idempotent: f.safe, Deferred: async,
		Urgency: urgency(r), RunTimeout: f.MaxDeadline}
	life, most := f.Deadline, f.MaxDeadline
	if async {
		life, most = f.Lifetime, f.MaxLifetime
	}
	asked, p := seconds(r, timeoutHeader)
	if p != nil {
		return o, p
	}
	if asked > 0 {
		life = min(asked, most)
	}
	o.Expires = now.Add(life)
	if asked, p = seconds(r, delayHeader); p != nil {
		return o, p
	}
	if asked > 0 {
		if !async || asked >= life {
			return o, badRequest(delayHeader + " is for deferred calls, and less than their life")
		}
		o.NotBefore = now.Add(asked)
	}
	// A read deadline left in force would end the wait for the answer too: it is for the body alone.
	reading := http.NewResponseController(w)
	reading.SetReadDeadline(now.Add(readBy))
	defer reading.SetReadDeadline(time.Time{})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.MaxBody))
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return invocation.Request{}, newProblem(http.StatusRequestEntityTooLarge, "too-large",
			fmt.Sprintf("The function takes %d bytes at most", f.MaxBody))
	} else if err != nil {
		return invocation.Request{}, badRequest("the body ended early")
	}
	sum := sha256.New()
	fmt.Fprintf(sum, "%q\n", name)
	sum.Write(body)
	o.Fingerprint, o.Body = sum.Sum(nil), body
	return o, nil
}

// seconds reads a header that is a number of seconds above 0; 0: there is none.
func seconds(r *http.Request, header string) (time.Duration, *problem) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n > 0 && n <= mostSeconds) {
		return 0, badRequest(header + " is a number of seconds above 0")
	}
	return time.Duration(n * float64(time.Second)), nil
}

// urgency reads the u of the Priority header. As RFC 9218, section 4, has it, what cannot be read counts as not there.
func urgency(r *http.Request) invocation.Urgency {
	for _, part := range strings.Split(strings.Join(r.Header.Values(urgencyHeader), ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); name == "u" && err == nil && n >= 0 && n <= 7 {
			return invocation.Urgency(n)
		}
	}
	return invocation.DefaultUrgency
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request, tenant string) *problem {
	until, p := s.until(preferences(r), time.Now())
	if p != nil {
		return p
	}
	return s.show(w, r, until, tenant, r.PathValue("ticket"))
}

func (s *Server) giveUp(w http.ResponseWriter, r *http.Request, tenant string) *problem {
	v, err := s.desk.Cancel(tenant, r.PathValue("ticket"))
	if err != nil {
		return problemOf(err)
	}
	if v.Outcome != invocation.OutcomeCancelled { // the answer came first, and stays
		return s.final(w, v)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// show waits for a ticket's final answer until then, and answers with what there is.
func (s *Server) show(w http.ResponseWriter, r *http.Request, until time.Time, tenant, id string) *problem {
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	v, err := s.desk.Wait(ctx, tenant, id)
	return s.tell(w, v, err)
}

func (s *Server) tell(w http.ResponseWriter, v executor.View, err error) *problem {
	switch {
	case err != nil:
		return problemOf(err)
	case v.State != invocation.StateCompleted:
		return s.pending(w, v)
	default:
		return s.final(w, v)
	}
}

func (s *Server) pending(w http.ResponseWriter, v executor.View) *problem {
	h := w.Header()
	h.Set("Location", path(v.ID))
	h.Set("Retry-After", "1")
	h.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	json.NewEncoder(w).Encode(map[string]any{"ticket": v.ID, "status": "pending", "deadline": v.Expires,
		"runs": v.Runs, "history": v.History})
	return nil
}

func (s *Server) final(w http.ResponseWriter, v executor.View) *problem {
	f := s.config.Functions[v.Function]
	if v.Durable { // else there is nothing to ask for
		w.Header().Set("Content-Location", path(v.ID))
	}
	if v.Outcome != invocation.OutcomeServed {
		return problemOfEnd(v, f != nil && f.safe)
	}
	if f != nil {
		w.Header().Set("Content-Type", f.ContentType)
	}
	w.Write(v.Result)
	return nil
}

// preferences reads the Prefer header of RFC 7240; the first of a name counts.
func preferences(r *http.Request) map[string]string {
	found := map[string]string{}
	for _, line := range r.Header.Values("Prefer") {
		for _, part := range strings.Split(line, ",") {
			part, _, _ = strings.Cut(part, ";")
			name, value, _ := strings.Cut(part, "=")
			name = strings.ToLower(strings.TrimSpace(name))
			if _, twice := found[name]; !twice && name != "" {
				found[name] = strings.Trim(strings.TrimSpace(value), `"`)
			}
		}
	}
	return found
}
