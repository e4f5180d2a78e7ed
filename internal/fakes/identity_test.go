package fakes_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/workloadapi"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// newServer starts an HTTPS server with an SVID from the authority's Workload API, and returns the server's URL. The
// server answers each request with the SPIFFE ID of the client.
func newServer(t *testing.T, authority *fakes.Authority) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Until(fakes.Deadline()))
	defer cancel()
	source, err := workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(authority.Addr)))
	require.NoError(t, err)
	t.Cleanup(func() { source.Close() })
	authorizer := tlsconfig.AuthorizeMemberOf(spiffeid.RequireTrustDomainFromString("turnos.example"))
	listener, err := tls.Listen("tcp", "127.0.0.1:0", tlsconfig.MTLSServerConfig(source, source, authorizer))
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.TLS.PeerCertificates[0].URIs[0].String())
	})}
	go server.Serve(listener) // returns when the server is closed
	t.Cleanup(func() { server.Close() })
	return "https://" + listener.Addr().String()
}

func TestConnectionsNeedIdentitiesOfOneAuthority(t *testing.T) {
	authority := fakes.NewAuthority(t)
	serverURL := newServer(t, authority)

	response, err := authority.Client(fakes.TrustDomain + "/desk/a").Get(serverURL)
	require.NoError(t, err)
	defer response.Body.Close()
	identity, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, fakes.TrustDomain+"/desk/a", string(identity))

	_, err = fakes.NewAuthority(t).Client(fakes.TrustDomain + "/desk/a").Get(serverURL)
	require.Error(t, err, "a client with the same SPIFFE ID from another authority could connect")
}
