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

// TrustDomain is the trust domain of all identities that an Authority issues.
const TrustDomain = "spiffe://turnos.example"

// dispatcherID is the SPIFFE ID in the SVIDs that the Workload API returns.
const dispatcherID = TrustDomain + "/edge"

// securityHeader is the metadata key that every request to the Workload API must carry.
const securityHeader = "workload.spiffe.io"

// certificateValidity is how long a certificate is valid before and after the time of its issue.
const certificateValidity = time.Hour

// Authority is a certificate authority that issues SVIDs and serves them through the SPIFFE Workload API.
type Authority struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Addr string // address of the Workload API: tcp://host:port

	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority starts an authority and stops it at the end of the test. Its Workload API returns an SVID with the path
// /edge to every caller.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t}
	a.certificate, a.key = a.newRootCertificate()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a.Addr = "tcp://" + listener.Addr().String()
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, a)
	go server.Serve(listener) // returns when the server is stopped
	t.Cleanup(server.Stop)
	return a
}

// newRootCertificate returns a self-signed CA certificate for the trust domain, and its key.
func (a *Authority) newRootCertificate() (*x509.Certificate, *ecdsa.PrivateKey) {
	key := a.newKey()
	template := a.newTemplate(TrustDomain, x509.KeyUsageCertSign)
	template.IsCA = true
	return a.sign(template, template, key, key), key
}

// issueCertificate returns a certificate for a SPIFFE ID, signed by the authority, and the key of the certificate.
func (a *Authority) issueCertificate(id string) (*x509.Certificate, *ecdsa.PrivateKey) {
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

// sign returns a certificate made from template for the public part of key. It is signed with signer, the key of the
// parent certificate.
func (a *Authority) sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	require.NoError(a.t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return certificate
}

// FetchX509SVID implements the Workload API. It sends one SVID and keeps the stream open until its context ends.
func (a *Authority) FetchX509SVID(_ *workload.X509SVIDRequest, stream workload.SpiffeWorkloadAPI_FetchX509SVIDServer) error {
	header, _ := metadata.FromIncomingContext(stream.Context())
	if len(header.Get(securityHeader)) == 0 {
		return status.Error(codes.InvalidArgument, "security header missing")
	}
	certificate, key := a.issueCertificate(dispatcherID)
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

// Client returns an HTTP client that presents an SVID with the given SPIFFE ID. The client only accepts servers whose SVID
// has the path /edge and is signed by this authority.
func (a *Authority) Client(id string) *http.Client {
	certificate, key := a.issueCertificate(id)
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
