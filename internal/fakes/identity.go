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

// Authority issues SVIDs and serves them by the Workload API.
type Authority struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	Addr string // of the Workload API
}

// NewAuthority starts an authority; its Workload API gives every caller the SVID of /edge.
func NewAuthority(t testing.TB) *Authority {
	a := &Authority{t: t}
	a.cert, a.key = a.issue(Domain, true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a.Addr = "tcp://" + ln.Addr().String()
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, a)
	go server.Serve(ln)
	t.Cleanup(server.Stop)
	return a
}

func (a *Authority) issue(id string, ca bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	uri, err := url.Parse(id)
	require.NoError(a.t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), URIs: []*url.URL{uri},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, IsCA: ca,
		KeyUsage: x509.KeyUsageDigitalSignature}
	parent, signer := a.cert, a.key
	if ca {
		c.KeyUsage, parent, signer = x509.KeyUsageCertSign, c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	require.NoError(a.t, err)
	c, err = x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return c, key
}

// FetchX509SVID is the Workload API's call of that name.
func (a *Authority) FetchX509SVID(_ *workload.X509SVIDRequest, s workload.SpiffeWorkloadAPI_FetchX509SVIDServer) error {
	if m, _ := metadata.FromIncomingContext(s.Context()); len(m.Get("workload.spiffe.io")) == 0 {
		return status.Error(codes.InvalidArgument, "security header missing")
	}
	cert, key := a.issue(Domain+"/edge", false)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	err = s.Send(&workload.X509SVIDResponse{Svids: []*workload.X509SVID{{SpiffeId: Domain + "/edge",
		X509Svid: cert.Raw, X509SvidKey: pkcs8, Bundle: a.cert.Raw}}})
	<-s.Context().Done()
	return err
}

// Client is an HTTP client with the SVID of an id, which accepts /edge alone.
func (a *Authority) Client(id string) *http.Client {
	cert, key := a.issue(id, false)
	svid := &x509svid.SVID{ID: spiffeid.RequireFromString(id), Certificates: []*x509.Certificate{cert}, PrivateKey: key}
	bundle := x509bundle.FromX509Authorities(svid.ID.TrustDomain(), []*x509.Certificate{a.cert})
	edge := tlsconfig.AuthorizeID(spiffeid.RequireFromString(Domain + "/edge"))
	tr := &http.Transport{TLSClientConfig: tlsconfig.MTLSClientConfig(svid, bundle, edge)}
	a.t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}
