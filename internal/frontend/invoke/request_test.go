package invoke_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/fakes"
)

func TestInvalidRequests(t *testing.T) {
	const unknownPath = "/v1/invocations/none"
	f := newTestFrontend(t, fakes.NewWorker(t))
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
	}{
		{"unknown function", "POST", "/v1/functions/none/invocations", "", nil, 404},
		{"unknown invocation", "GET", unknownPath, "", nil, 404},
		{"unknown path", "GET", "/elsewhere", "", nil, 404},
		{"wrong method", "GET", bookPath, "", nil, 405},
		{"wrong media type", "POST", bookPath, "", []string{"Content-Type", "text/plain"}, 415},
		{"encoded body", "POST", bookPath, "", []string{"Content-Encoding", "gzip"}, 415},
		{"body over the limit", "POST", bookPath, strings.Repeat("x", 65), nil, 413},
		{"non-numeric timeout", "POST", bookPath, "", []string{"Request-Timeout", "soon"}, 400},
		{"idempotency key over the limit", "POST", bookPath, "", []string{"Idempotency-Key", strings.Repeat("x", 256)}, 400},
		{"non-numeric wait", "GET", unknownPath, "", []string{"Prefer", "wait=long"}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			result := f.mustSend(f.clientA, c.method, c.path, c.body, c.headers...)
			assert.Equal(t, c.status, result.status)
			assert.NotEmpty(t, result.problem.name)
		})
	}
}

func TestWrongMethodResponseListsAllowedMethods(t *testing.T) {
	f := newTestFrontend(t)
	result := f.mustSend(f.clientA, http.MethodPut, "/v1/invocations/none", "")
	assert.Equal(t, problem{status: 405, name: "method"}, result.problem)
	assert.Equal(t, "DELETE, GET", result.header.Get("Allow"))
}

func TestClientsWithoutTenantAreForbidden(t *testing.T) {
	f := newTestFrontend(t, fakes.NewWorker(t))
	unknown := f.authority.Client(fakes.TrustDomain + "/desk/unknown")
	result := f.mustSend(unknown, http.MethodPost, bookPath, "")
	assert.Equal(t, problem{status: 403, name: "forbidden"}, result.problem)
	// The SPIFFE ID belongs to a tenant, but the server does not trust the authority that issued the SVID.
	untrusted := fakes.NewAuthority(t).Client(fakes.TrustDomain + "/desk/a")
	_, err := f.send(context.Background(), untrusted, http.MethodPost, bookPath, "")
	assert.Error(t, err)
}
