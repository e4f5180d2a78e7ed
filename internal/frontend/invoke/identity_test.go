package invoke

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection can stay open after the SVID that its TLS handshake verified has expired. From then on its requests must be
// rejected.
func TestExpiredSVIDIsRejected(t *testing.T) {
	id := spiffeid.RequireFromString("spiffe://hospitals.example/desk/a")
	config := &Config{tenantByID: map[spiffeid.ID]string{id: "acme"}}
	uri, err := url.Parse(id.String())
	require.NoError(t, err)
	request := func(notAfter time.Time) *http.Request {
		certificate := &x509.Certificate{URIs: []*url.URL{uri}, NotAfter: notAfter}
		return &http.Request{TLS: &tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}}
	}
	tenant, err := config.tenantOf(request(time.Now().Add(time.Hour)))
	require.NoError(t, err)
	assert.Equal(t, "acme", tenant)
	_, err = config.tenantOf(request(time.Now().Add(-time.Hour)))
	assert.ErrorIs(t, err, errSVIDExpired)
}
