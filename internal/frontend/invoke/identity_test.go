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

// A connection may be kept beyond the end of the SVID that it was made with, which stands for nobody from then on.
func TestIdentityEndsWithItsSVID(t *testing.T) {
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
	assert.ErrorIs(t, err, errExpired)
}
