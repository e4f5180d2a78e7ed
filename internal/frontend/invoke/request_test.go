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
		{"large body", "POST", bookPath, strings.Repeat("x", 65), nil, 413},
		{"timeout that is no number", "POST", bookPath, "", []string{"Request-Timeout", "soon"}, 400},
		{"long key", "POST", bookPath, "", []string{"Idempotency-Key", strings.Repeat("x", 256)}, 400},
		{"wait that is no number", "GET", unknownPath, "", []string{"Prefer", "wait=long"}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			received := f.mustSend(f.clientA, c.method, c.path, c.body, c.headers...)
			assert.Equal(t, c.status, received.status)
			assert.NotEmpty(t, received.problem.name)
		})
	}
}

func TestWrongMethodNamesTheAllowedOnes(t *testing.T) {
	f := newTestFrontend(t)
	received := f.mustSend(f.clientA, http.MethodPut, "/v1/invocations/none", "")
	assert.Equal(t, problem{status: 405, name: "method"}, received.problem)
	assert.Equal(t, "DELETE, GET", received.header.Get("Allow"))
}

func TestClientsOfNoTenantAreForbidden(t *testing.T) {
	f := newTestFrontend(t, fakes.NewWorker(t))
	unknown := f.authority.Client(fakes.Domain + "/desk/unknown")
	received := f.mustSend(unknown, http.MethodPost, bookPath, "")
	assert.Equal(t, problem{status: 403, name: "forbidden"}, received.problem)
	foreign := fakes.NewAuthority(t).Client(fakes.Domain + "/desk/a") // a tenant's name by another authority
	_, err := f.send(context.Background(), foreign, http.MethodPost, bookPath, "")
	assert.Error(t, err)
}
