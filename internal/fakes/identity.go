package fakes

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/proto/spiffe/workload"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Domain is the trust domain of the identities.
const Domain = "spiffe://turnos.example"

// dispatcherID is the identity that the Workload API gives to its callers.
const dispatcherID = Domain + "/edge"

// securityHeader is the metadata key that the Workload API demands of its callers.
const securityHeader = "workload.spiffe.io"

// certificateValidity is how long before and after its issue a certificate is valid.
const certificateValidity = time.Hour

// Authority issues SVIDs and serves them by the SPIFFE Workload API.
type Authority struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Addr string // of the Workload API

	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority starts an authority, which ends with the test. Its Workload API gives every caller the SVID of /edge.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t}
	a.certificate, a.key = a.newRoot()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a.Addr = "tcp://" + listener.Addr().String()
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, a)
	go server.Serve(listener) // until the server is stopped
	t.Cleanup(server.Stop)
	return a
}

// newRoot returns a self-signed certificate of the trust domain.
func (a *Authority) newRoot() (*x509.Certificate, *ecdsa.PrivateKey) {
	key := a.newKey()
	template := a.newTemplate(Domain, x509.KeyUsageCertSign)
	template.IsCA = true
	return a.sign(template, template, key, key), key
}

// issue returns a certificate for an identity, signed by the authority.
func (a *Authority) issue(id string) (*x509.Certificate, *ecdsa.PrivateKey) {
	key := a.newKey()
	template := a.newTemplate(id, x509.KeyUsageDigitalSignature)
	return a.sign(template, a.certificate, key, a.key), key
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *Authority) newTemplate(id string, usage x509.KeyUsage) *x509.Certificate {
	uri, err := url.Parse(id)
	require.NoError(a.t, err)
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		URIs:                  []*url.URL{uri},
		NotBefore:             now.Add(-certificateValidity),
		NotAfter:              now.Add(certificateValidity),
		BasicConstraintsValid: true,
		KeyUsage:              usage,
	}
}

// sign returns the template as a certificate of key, signed by the parent with signer.
func (a *Authority) sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	require.NoError(a.t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return certificate
}

// FetchX509SVID implements the Workload API: it sends one SVID and keeps the stream open until the caller ends it.
func (a *Authority) FetchX509SVID(_ *workload.X509SVIDRequest, stream workload.SpiffeWorkloadAPI_FetchX509SVIDServer) error {
	header, _ := metadata.FromIncomingContext(stream.Context())
	if len(header.Get(securityHeader)) == 0 {
		return status.Error(codes.InvalidArgument, "security header missing")
	}
	certificate, key := a.issue(dispatcherID)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	svid := &workload.X509SVID{
		SpiffeId:    dispatcherID,
		X509Svid:    certificate.Raw,
		X509SvidKey: pkcs8,
		Bundle:      a.certificate.Raw,
	}
	err = stream.Send(&workload.X509SVIDResponse{Svids: []*workload.X509SVID{svid}})
	<-stream.Context().Done()
	return err
}

// Client returns an HTTP client with the SVID of an id. It accepts a server with the SVID of /edge alone.
func (a *Authority) Client(id string) *http.Client {
	certificate, key := a.issue(id)
	svid := &x509svid.SVID{
		ID:           spiffeid.RequireFromString(id),
		Certificates: []*x509.Certificate{certificate},
		PrivateKey:   key,
	}
	bundle := x509bundle.FromX509Authorities(svid.ID.TrustDomain(), []*x509.Certificate{a.certificate})
	authorizer := tlsconfig.AuthorizeID(spiffeid.RequireFromString(dispatcherID))
	transport := &http.Transport{TLSClientConfig: tlsconfig.MTLSClientConfig(svid, bundle, authorizer)}
	a.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
