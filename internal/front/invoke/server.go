package invoke

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
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

	"kitefall/internal/ticket"
)

const (
	timeoutHeader = "Request-Timeout" // seconds until the deadline that the client asks for
	keyHeader     = "Idempotency-Key"
	mostKey       = 255
	slack         = 250 * time.Millisecond // past a call's deadline, for its answer to be stored
	readBy        = 10 * time.Second       // poor links are slow, but a request is small
	mostHeader    = 16 << 10
	mostSeconds   = 86400
	mostStreams   = 64 // of one HTTP/2 connection
)

// Server answers the invoke API.
type Server struct {
	config *Config
	desk   *ticket.Desk
	http   *http.Server
	room   chan struct{}
	ending atomic.Bool
}

// Identity is where the server's own SVID and the trust bundles come from: the Workload API.
type Identity interface {
	x509svid.Source
	x509bundle.Source
}

// Identify waits for the first SVID of the Workload API.
func Identify(ctx context.Context, addr string) (*workloadapi.X509Source, error) {
	return workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(addr)))
}

// New returns a server; Serve starts it.
func New(c *Config, d *ticket.Desk, id Identity) *Server {
	s := &Server{config: c, desk: d, room: make(chan struct{}, c.MostOpen)}
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
	err := s.http.ServeTLS(netutil.LimitListener(ln, s.config.Connections), "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Finish refuses new calls from now on, so that those in hand can come to their end.
func (s *Server) Finish() { s.ending.Store(true) }

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
			log.Printf("invoke: %s turned away: %v", r.RemoteAddr, err)
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
	o, p := s.order(w, r, tenant, now)
	if p != nil {
		return p
	}
	prefer := preferences(r)
	until, p := s.until(prefer, now)
	if p != nil {
		return p
	}
	t, err := s.desk.Take(o)
	if err != nil {
		return problemOf(err)
	}
	if _, async := prefer["respond-async"]; async {
		w.Header().Set("Preference-Applied", "respond-async")
	} else {
		until = t.Deadline.Add(slack)
	}
	return s.show(w, r, until, tenant, t.ID)
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
	return now.Add(min(time.Duration(min(seconds, mostSeconds))*time.Second, s.config.MostWait)), nil
}

// order reads and checks a request. What the workers need to know comes from the catalogue alone.
func (s *Server) order(w http.ResponseWriter, r *http.Request, tenant string, now time.Time) (ticket.Order, *problem) {
	name := r.PathValue("function")
	f := s.config.Functions[name]
	if f == nil {
		return ticket.Order{}, notFound()
	}
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != f.ContentType || r.Header.Get("Content-Encoding") != "" {
		return ticket.Order{}, newProblem(http.StatusUnsupportedMediaType, "media-type",
			"The function takes "+f.ContentType+" as it is")
	}
	key := r.Header.Get(keyHeader)
	if len(key) > mostKey || len(r.Header.Values(keyHeader)) > 1 {
		return ticket.Order{}, badRequest(keyHeader + " is too long, or given twice")
	}
	deadline := now.Add(f.Deadline)
	if asked := r.Header.Get(timeoutHeader); asked != "" {
		seconds, err := strconv.ParseFloat(asked, 64)
		if err != nil || !(seconds > 0 && seconds < mostSeconds) {
			return ticket.Order{}, badRequest(timeoutHeader + " is a number of seconds above 0")
		}
		deadline = now.Add(min(time.Duration(seconds*float64(time.Second)), f.MostTime))
	}
	// A read deadline left in force would end the wait for the answer too: it is for the body alone.
	reading := http.NewResponseController(w)
	reading.SetReadDeadline(now.Add(readBy))
	defer reading.SetReadDeadline(time.Time{})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.MostBody))
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return ticket.Order{}, newProblem(http.StatusRequestEntityTooLarge, "too-large",
			fmt.Sprintf("The function takes %d bytes at most", f.MostBody))
	} else if err != nil {
		return ticket.Order{}, badRequest("the body ended early")
	}
	sum := sha256.New()
	fmt.Fprintf(sum, "%q\n", name)
	sum.Write(body)
	return ticket.Order{Tenant: tenant, Key: key, Fingerprint: sum.Sum(nil), Name: name, Body: body,
		Deadline: deadline}, nil
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request, tenant string) *problem {
	until, p := s.until(preferences(r), time.Now())
	if p != nil {
		return p
	}
	return s.show(w, r, until, tenant, r.PathValue("ticket"))
}

func (s *Server) giveUp(w http.ResponseWriter, r *http.Request, tenant string) *problem {
	t, err := s.desk.GiveUp(tenant, r.PathValue("ticket"))
	if err != nil {
		return problemOf(err)
	}
	if t.End != ticket.GivenUp { // the answer came first, and stays
		return s.final(w, t)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// show waits for a ticket's final answer until then, and answers with what there is.
func (s *Server) show(w http.ResponseWriter, r *http.Request, until time.Time, tenant, id string) *problem {
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	t, err := s.desk.Wait(ctx, tenant, id)
	switch {
	case err != nil:
		return problemOf(err)
	case t.End == ticket.Open:
		return s.pending(w, t)
	default:
		return s.final(w, t)
	}
}

func (s *Server) pending(w http.ResponseWriter, t *ticket.Ticket) *problem {
	h := w.Header()
	h.Set("Location", path(t.ID))
	h.Set("Retry-After", "1")
	h.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	json.NewEncoder(w).Encode(map[string]any{"ticket": t.ID, "status": "pending", "deadline": t.Deadline})
	return nil
}

func (s *Server) final(w http.ResponseWriter, t *ticket.Ticket) *problem {
	f := s.config.Functions[t.Name]
	w.Header().Set("Content-Location", path(t.ID))
	if t.End != ticket.Served {
		return problemOfEnd(t, f != nil && f.safe)
	}
	if f != nil {
		w.Header().Set("Content-Type", f.ContentType)
	}
	w.Write(t.Result)
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
