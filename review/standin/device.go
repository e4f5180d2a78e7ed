package standin

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/proto/spiffe/workload"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"google.golang.org/grpc"
)

// SPIFFE IDs of the stand-ins.
const (
	trustDomain  = "spiffe://turnos.example"
	dispatcherID = trustDomain + "/edge"
	// DeskID is the identity of the devices.
	DeskID = trustDomain + "/desk/hospital-san-roque"
	// DeskTenant is the tenant to which DeskID belongs.
	DeskTenant = "hospital-san-roque"
)

// certificateValidity is how long a certificate is valid, before and after its issue.
const certificateValidity = time.Hour

// Authority issues identities and serves the dispatcher's through the SPIFFE Workload API.
type Authority struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Addr string // address of the Workload API, as the operator's file names it

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority starts an authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{key: key}
	template, err := newTemplate(trustDomain, x509.KeyUsageCertSign)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	if a.certificate, err = sign(template, template, key, key); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.Addr = "tcp://" + listener.Addr().String()
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, a)
	go server.Serve(listener)
	return a, nil
}

func newTemplate(id string, usage x509.KeyUsage) (*x509.Certificate, error) {
	uri, err := url.Parse(id)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		URIs:                  []*url.URL{uri},
		NotBefore:             now.Add(-certificateValidity),
		NotAfter:              now.Add(certificateValidity),
		BasicConstraintsValid: true,
		KeyUsage:              usage,
	}, nil
}

// sign returns a certificate for the public part of key, signed by the parent's key.
func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// issue returns a certificate for a SPIFFE ID, with its key.
func (a *Authority) issue(id string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate(id, x509.KeyUsageDigitalSignature)
	if err != nil {
		return nil, nil, err
	}
	certificate, err := sign(template, a.certificate, key, a.key)
	return certificate, key, err
}

// FetchX509SVID sends the dispatcher's identity and keeps the stream open. It is part of the Workload API.
func (a *Authority) FetchX509SVID(_ *workload.X509SVIDRequest, stream workload.SpiffeWorkloadAPI_FetchX509SVIDServer) error {
	certificate, key, err := a.issue(dispatcherID)
	if err != nil {
		return err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	err = stream.Send(&workload.X509SVIDResponse{Svids: []*workload.X509SVID{{SpiffeId: dispatcherID, X509Svid: certificate.Raw,
		X509SvidKey: encodedKey, Bundle: a.certificate.Raw}}})
	if err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Device is a client of the invoke API with an identity of its own.
type Device struct {
	Name   string
	URL    string // of the invoke API
	Record *Record
	client *http.Client
}

// NewDevice returns a device that calls the invoke API at addr.
func (a *Authority) NewDevice(name, addr string, record *Record) (*Device, error) {
	config, err := a.clientTLS()
	if err != nil {
		return nil, err
	}
	return &Device{Name: name, URL: "https://" + addr, Record: record,
		client: &http.Client{Transport: &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 64}}}, nil
}

func (a *Authority) clientTLS() (*tls.Config, error) {
	certificate, key, err := a.issue(DeskID)
	if err != nil {
		return nil, err
	}
	svid := &x509svid.SVID{ID: spiffeid.RequireFromString(DeskID), Certificates: []*x509.Certificate{certificate}, PrivateKey: key}
	bundle := x509bundle.FromX509Authorities(svid.ID.TrustDomain(), []*x509.Certificate{a.certificate})
	return tlsconfig.MTLSClientConfig(svid, bundle, tlsconfig.AuthorizeID(spiffeid.RequireFromString(dispatcherID))), nil
}

// Answer is an answer of the invoke API.
type Answer struct {
	Status     int // 0: there was no answer
	Location   string
	RetryAfter string
	Body       string
	Err        error
}

// String returns the answer as the record shows it.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	text := fmt.Sprintf("status %d", a.Status)
	if a.Location != "" {
		text += " Location " + a.Location
	}
	return fmt.Sprintf("%s body %.200q", text, a.Body)
}

// Final reports whether the answer is the final answer to a call: the result, or a problem of the call's outcome.
func (a Answer) Final() bool {
	switch a.Status {
	case http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		http.StatusInternalServerError, http.StatusConflict:
		return true
	}
	return false
}

// Do sends a request and returns its answer. The headers are pairs of name and value.
func (d *Device) Do(ctx context.Context, method, path, body string, headers ...string) Answer {
	request, err := http.NewRequestWithContext(ctx, method, d.URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	d.Record.Add("%s sends %s %s %q body %.60q", d.Name, method, path, headers, body)
	answer := d.send(request)
	d.Record.Add("%s is answered to %s %s %q: %v", d.Name, method, path, headers, answer)
	return answer
}

func (d *Device) send(request *http.Request) Answer {
	response, err := d.client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Location: response.Header.Get("Location"),
		RetryAfter: response.Header.Get("Retry-After"), Body: string(body), Err: err}
}

// Bounds of Await.
const (
	awaitPause   = 500 * time.Millisecond // between two polls
	maxNotFounds = 4                      // polls in a row that find no such ticket until Await ends
)

// Await polls a ticket until it has its final answer, for at most the limit, and returns the last answer. It ends early if
// the dispatcher says repeatedly that there is no such ticket.
func (d *Device) Await(ticket string, limit time.Duration) Answer {
	var answer Answer
	notFounds := 0
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && notFounds < maxNotFounds; time.Sleep(awaitPause) {
		answer = d.Do(context.Background(), http.MethodGet, ticket, "", "Prefer", "wait=2")
		if answer.Final() {
			break
		}
		notFounds++
		if answer.Status != http.StatusNotFound {
			notFounds = 0
		}
	}
	return answer
}
