package peers2

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/proto/spiffe/workload"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"google.golang.org/grpc"
)

// validity is how long a certificate is valid before and after its issue.
const validity = time.Hour

// Issuer signs the identities of one trust domain.
type Issuer struct {
	domain      string // spiffe://NAME
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewIssuer returns an issuer for a trust domain, spiffe://NAME.
func NewIssuer(domain string) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	i := &Issuer{domain: domain, key: key}
	template, err := newTemplate(domain, x509.KeyUsageCertSign)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	i.certificate, err = i.sign(template, template, key)
	return i, err
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
		NotBefore:             now.Add(-validity),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
		KeyUsage:              usage,
	}, nil
}

func (i *Issuer) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), i.key)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// issue returns a new identity with a path in the trust domain.
func (i *Issuer) issue(path string) (*x509svid.SVID, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(i.domain+path, x509.KeyUsageDigitalSignature)
	if err != nil {
		return nil, err
	}
	certificate, err := i.sign(template, i.certificate, key)
	if err != nil {
		return nil, err
	}
	id, err := spiffeid.FromString(i.domain + path)
	return &x509svid.SVID{ID: id, Certificates: []*x509.Certificate{certificate}, PrivateKey: key}, err
}

// WorkloadAPI serves the dispatcher's identity and the trust bundles, by the SPIFFE Workload API.
type WorkloadAPI struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Addr string // tcp://host:port

	own    *Issuer
	server *grpc.Server

	mu        sync.Mutex
	federated map[string]*Issuer // by trust domain
	changed   chan struct{}      // closed and replaced when federated changes
}

// NewWorkloadAPI starts a Workload API on loopback. The dispatcher's identity is /edge of own; the bundles of the federated
// issuers are given to it too.
func NewWorkloadAPI(own *Issuer, federated ...*Issuer) (*WorkloadAPI, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &WorkloadAPI{Addr: "tcp://" + listener.Addr().String(), own: own, server: grpc.NewServer(),
		federated: map[string]*Issuer{}, changed: make(chan struct{})}
	for _, issuer := range federated {
		a.federated[issuer.domain] = issuer
	}
	workload.RegisterSpiffeWorkloadAPIServer(a.server, a)
	go a.server.Serve(listener) // returns when the server is stopped
	return a, nil
}

// Close ends the server.
func (a *WorkloadAPI) Close() { a.server.Stop() }

// Withdraw withdraws the bundle of a federated issuer: every stream gets an update without it.
func (a *WorkloadAPI) Withdraw(issuer *Issuer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.federated, issuer.domain)
	close(a.changed)
	a.changed = make(chan struct{})
}

// FetchX509SVID implements the Workload API: an update at once, and one after each change.
func (a *WorkloadAPI) FetchX509SVID(_ *workload.X509SVIDRequest,
	stream workload.SpiffeWorkloadAPI_FetchX509SVIDServer) error {
	svid, err := a.own.issue("/edge")
	if err != nil {
		return err
	}
	key, ok := svid.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.New("not an ECDSA key")
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	for {
		response := &workload.X509SVIDResponse{
			Svids: []*workload.X509SVID{{SpiffeId: svid.ID.String(), X509Svid: svid.Certificates[0].Raw, X509SvidKey: pkcs8,
				Bundle: a.own.certificate.Raw}},
			FederatedBundles: map[string][]byte{},
		}
		a.mu.Lock()
		for domain, issuer := range a.federated {
			response.FederatedBundles[domain] = issuer.certificate.Raw
		}
		changed := a.changed
		a.mu.Unlock()
		if err := stream.Send(response); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// Device returns an HTTP client with an identity of the issuer, and its transport. It accepts a server with the identity /edge of
// the issuer server. It keeps its connection open.
func (i *Issuer) Device(path string, server *Issuer) (*http.Client, *http.Transport, error) {
	svid, err := i.issue(path)
	if err != nil {
		return nil, nil, err
	}
	edge, err := spiffeid.FromString(server.domain + "/edge")
	if err != nil {
		return nil, nil, err
	}
	bundle := x509bundle.FromX509Authorities(edge.TrustDomain(), []*x509.Certificate{server.certificate})
	transport := &http.Transport{TLSClientConfig: tlsconfig.MTLSClientConfig(svid, bundle, tlsconfig.AuthorizeID(edge))}
	return &http.Client{Transport: transport}, transport, nil
}
