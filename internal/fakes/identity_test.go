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

// newServer starts an HTTPS server with the SVID that an authority serves, and returns its URL. It answers with the
// client's identity.
func newServer(t *testing.T, authority *fakes.Authority) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Until(fakes.Deadline()))
	defer cancel()
	source, err := workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(authority.Addr)))
	require.NoError(t, err)
	t.Cleanup(func() { source.Close() })
	members := tlsconfig.AuthorizeMemberOf(spiffeid.RequireTrustDomainFromString("turnos.example"))
	listener, err := tls.Listen("tcp", "127.0.0.1:0", tlsconfig.MTLSServerConfig(source, source, members))
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.TLS.PeerCertificates[0].URIs[0].String())
	})}
	go server.Serve(listener) // until the server is closed
	t.Cleanup(func() { server.Close() })
	return "https://" + listener.Addr().String()
}

func TestAuthorityIssuesIdentitiesThatItAloneVouchesFor(t *testing.T) {
	authority := fakes.NewAuthority(t)
	url := newServer(t, authority)

	response, err := authority.Client(fakes.Domain + "/desk/a").Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	identity, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, fakes.Domain+"/desk/a", string(identity))

	_, err = fakes.NewAuthority(t).Client(fakes.Domain + "/desk/a").Get(url)
	require.Error(t, err, "the right name by another authority")
}
