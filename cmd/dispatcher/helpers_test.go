package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

const (
	// waitTimeout limits how long a test waits for a condition.
	waitTimeout = 5 * time.Second
	// waitInterval is the time between two checks of the condition.
	waitInterval = time.Millisecond
	// unreachableDiscovery is a discovery address that nothing listens at. What a dispatcher knows of its worker
	// expires there within seconds, because no poll is answered.
	unreachableDiscovery = "127.0.0.1:1"
	// clientIdentity is the path of the SPIFFE ID of tenant a, which writeInvokeFile configures.
	clientIdentity = "/desk/a"
)

// newIdleDiscovery starts a discovery server that answers each poll after its linger time, without events, and returns the
// server's address. A process that runs for longer than some seconds needs one: only answers to its polls confirm that its
// worker is still ready.
func newIdleDiscovery(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		linger, _ := strconv.Atoi(r.URL.Query().Get("linger"))
		select {
		case <-time.After(time.Duration(linger) * time.Millisecond):
			fmt.Fprintf(w, `{"rev":%s,"notices":[]}`, r.URL.Query().Get("watch"))
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// writeConfig writes a dispatcher's configuration whose initial endpoint list contains one worker.
func writeConfig(t *testing.T, path, listenAddr, discoveryAddr string, worker *fakes.Worker) {
	t.Helper()
	text := fmt.Appendf(nil, `{"name":"n1","listen":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"board":%q,
		"known":{"rev":1,"notices":[{"rev":1,"pool":{"all":true,"targets":[{"uid":"s-1","endpoint":%q,"state":"active"}]}}]},
		"settings":{"caps":{"cancel":true,"try_limit":4,"dial_timeout_us":250000,"idle_close_us":15000000,"max_streams":32},
		"domain":{"placement_calls":true,"answer_within_us":5000000,"keep_alive_us":9000000},
		"guarantees":{"drain_grace_us":1000000},
		"grades":[{"name":"reserva","effect":"side_effect","deadline_us":5000000,"goal_time_us":4000000},
		{"name":"consulta","effect":"pure","deadline_us":5000000,"goal_time_us":4000000}]}}`,
		listenAddr, discoveryAddr, worker.Addr)
	require.NoError(t, os.WriteFile(path, text, 0o600))
}

// writeInvokeFile writes an operator's file with the tenant a and the function book, which is not idempotent. It returns the
// file's path and the URL of the invoke API.
func writeInvokeFile(t *testing.T, authority *fakes.Authority) (path, url string) {
	t.Helper()
	addr := freeAddress(t)
	path = filepath.Join(t.TempDir(), "invoke.toml")
	text := fmt.Appendf(nil, `listen = %q
workload_api = %q
store = %q
[tenants]
"spiffe://turnos.example/desk/a" = "a"
[functions.book]
class = "reserva"
key = "7f3a9c21e0b4d655"
lanes = 4
load = "10ms"
deadline = "4s"
most_deadline = "4s"
`, addr, authority.Addr, path+".db")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path, "https://" + addr
}

// addLookFunction adds the function look to an operator's file. It is configured like book, but is idempotent.
func addLookFunction(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	text := string(data)
	book := text[strings.Index(text, "[functions.book]"):]
	look := strings.NewReplacer(
		"functions.book", "functions.look",
		"reserva", "consulta",
		"7f3a9c21e0b4d655", "0000007c55d20a01",
	).Replace(book)
	require.NoError(t, os.WriteFile(path, []byte(text+look), 0o600))
}

// setLoadTime sets the typical load time of all functions in an operator's file. The balancer does not rely on a worker whose loads
// take many times as long.
func setLoadTime(t *testing.T, path, loadTime string) {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(data), `load = "10ms"`, `load = "`+loadTime+`"`)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// service is the program's service, which runs within the process of the test.
type service struct {
	configPath string
	addr       string
	runErr     chan error // receives the result of run
}

// newService writes the configuration of a service with one worker and returns the service, not yet started.
func newService(t *testing.T, discoveryAddr string, worker *fakes.Worker) *service {
	t.Helper()
	s := &service{
		configPath: filepath.Join(t.TempDir(), "config.json"),
		addr:       freeAddress(t),
		runErr:     make(chan error, 1),
	}
	writeConfig(t, s.configPath, s.addr, discoveryAddr, worker)
	return s
}

// rewriteConfig replaces the text of the configuration file with the result of edit.
func (s *service) rewriteConfig(t *testing.T, edit func(text string) string) {
	t.Helper()
	text, err := os.ReadFile(s.configPath)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(s.configPath, []byte(edit(string(text))), 0o600))
}

// start runs the service in the background until it fails or signalSelf terminates it. The invoke API is off if invokeFile
// is empty.
func (s *service) start(invokeFile string) {
	go func() { s.runErr <- run(s.configPath, invokeFile) }()
}

// signalSelf sends a signal to the process of the test, in which the service runs.
func signalSelf(signal syscall.Signal) error { return syscall.Kill(os.Getpid(), signal) }

// dial connects to an address. It retries until something listens there.
func dial(t *testing.T, addr string) (conn net.Conn) {
	t.Helper()
	require.Eventually(t, func() bool {
		var err error
		conn, err = net.Dial("tcp", addr)
		return err == nil
	}, waitTimeout, waitInterval)
	require.NoError(t, conn.SetDeadline(fakes.Deadline()))
	return conn
}

// sendCall sends a RESP call of the class reserva.
func sendCall(conn net.Conn, id, body string) {
	fields := "id=" + id + ",wait=4000,key=7f3a9c21e0b4d655"
	fmt.Fprintf(conn, "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$7\r\nreserva\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(fields), fields,
		len(body), body)
}

// checkReady sends the RESP request CHECK and returns the dispatcher's answer: yes if it is ready, otherwise no.
func checkReady(t *testing.T, conn net.Conn) string {
	t.Helper()
	fmt.Fprint(conn, "*3\r\n$5\r\nCHECK\r\n$1\r\n9\r\n$0\r\n\r\n")
	answer := make([]byte, 64)
	length, err := conn.Read(answer)
	require.NoError(t, err)
	return strings.Fields(string(answer[:length]))[4]
}

// newHangingDiscovery starts a discovery server that never answers a poll, and returns its address. For each poll the
// server sends its name and the polled revision to polls.
func newHangingDiscovery(t *testing.T, name string, polls chan<- string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		polls <- name + " " + r.URL.Query().Get("watch")
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// buildProgram builds the program with the given build tags and returns its path.
func buildProgram(t *testing.T, tags string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "kitefall")
	out, err := exec.Command("go", "build", "-tags", tags, "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// programCommand returns a command that runs a built program with the given files. The environment variables, NAME=VALUE,
// are added to those of the test.
func programCommand(program, configPath, invokeFile string, environment ...string) *exec.Cmd {
	c := exec.Command(program, "-invoke", invokeFile)
	c.Env = append(os.Environ(), configEnv+"="+configPath)
	c.Env = append(c.Env, environment...)
	return c
}

// newInvocationRequest returns an HTTP request that invokes a function with a JSON body.
func newInvocationRequest(url, function, body string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/functions/"+function+"/invocations", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}
