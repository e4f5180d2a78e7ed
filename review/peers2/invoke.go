package peers2

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

// TurnosDomain is the trust domain of the operator's file that deploy/invoke.toml shows.
const TurnosDomain = "spiffe://turnos.example"

// WriteInvokeFile writes an operator's file for the invoke API, with two functions as in deploy/invoke.toml, and returns its path
// and the URL of the API. tenants is the tenant by SPIFFE ID.
func WriteInvokeFile(c *Case, workloadAPI string, tenants map[string]string) (path, url string, err error) {
	addr, err := FreeAddress()
	if err != nil {
		return "", "", err
	}
	path = filepath.Join(c.Dir, "invoke.toml")
	var text strings.Builder
	fmt.Fprintf(&text, "listen = %q\nworkload_api = %q\nstore = %q\n\n[tenants]\n", addr, workloadAPI,
		filepath.Join(c.Dir, "tickets.db"))
	for id, tenant := range tenants {
		fmt.Fprintf(&text, "%q = %q\n", id, tenant)
	}
	text.WriteString(`
[functions.confirm-appointment]
class = "reserva"
key = "7f3a9c21e0b4d655"
memory_mb = 512
lanes = 4
load = "1.1s"
work = "80ms"
deadline = "2.5s"
most_deadline = "2.5s"

[functions.free-slots]
class = "consulta"
key = "0000007c55d20a01"
memory_mb = 640
lanes = 2
load = "600ms"
work = "130ms"
deadline = "2s"
most_deadline = "2s"
`)
	return path, "https://" + addr, os.WriteFile(path, []byte(text.String()), 0o600)
}

// NewInvocation returns a request to invoke a function.
func NewInvocation(url, function, body string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/functions/"+function+"/invocations", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// Reply is a response that was read as a whole.
type Reply struct {
	Status   int
	Location string
	Body     string
}

// Send sends a request and reads the whole response. It fails if the connection ends before.
func Send(client *http.Client, r *http.Request) (Reply, error) {
	response, err := client.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Location: response.Header.Get("Location"), Body: strings.TrimSpace(string(body))}, err
}
