package invoke

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"github.com/spiffe/go-spiffe/v2/workloadapi"
)

// IdentitySource provides the server's own X.509 SVID and the trust bundles that verify the clients' SVIDs.
type IdentitySource interface {
	x509svid.Source
	x509bundle.Source
}

// WaitForIdentity returns a source that follows the SPIFFE Workload API at addr. It waits for the source's first update and
// fails if ctx is done before that update. The caller must close the source.
func WaitForIdentity(ctx context.Context, addr string) (*workloadapi.X509Source, error) {
	return workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(addr)))
}

// errSVIDExpired means that a client's SVID has expired since the connection's TLS handshake.
var errSVIDExpired = errors.New("the client's SVID has expired")

// tenantOf returns the tenant that the client's SPIFFE ID belongs to. The TLS handshake has verified the client's SVID, but a
// connection may stay open for any time, so tenantOf checks on each request that the SVID has not expired since.
func (c *Config) tenantOf(r *http.Request) (string, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("the client sent no certificate")
	}
	certificate := r.TLS.PeerCertificates[0]
	if time.Now().After(certificate.NotAfter) {
		return "", errSVIDExpired
	}
	id, err := x509svid.IDFromCert(certificate)
	if err != nil {
		return "", err
	}
	tenant, ok := c.tenantByID[id]
	if !ok {
		return "", fmt.Errorf("%s belongs to no tenant", id)
	}
	return tenant, nil
}
