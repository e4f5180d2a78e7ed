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

// IdentitySource provides the server's own X.509 SVID and the trust bundles by which it verifies its clients'.
type IdentitySource interface {
	x509svid.Source
	x509bundle.Source
}

// WaitForIdentity returns a source that follows the SPIFFE Workload API at addr, after its first update. It fails when
// ctx ends before that. The caller closes the source.
func WaitForIdentity(ctx context.Context, addr string) (*workloadapi.X509Source, error) {
	return workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(addr)))
}

// errExpired means that a client's SVID has expired since its connection was made.
var errExpired = errors.New("SVID has expired")

// tenantOf returns the tenant to whom the client's SPIFFE ID belongs. The TLS handshake has verified its SVID, which may have
// expired since: a connection may be kept for any time.
func (c *Config) tenantOf(r *http.Request) (string, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("no peer certificate")
	}
	certificate := r.TLS.PeerCertificates[0]
	if time.Now().After(certificate.NotAfter) {
		return "", errExpired
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
