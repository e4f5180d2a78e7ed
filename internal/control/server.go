package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxRequestBytes limits the size of a request's body.
	maxRequestBytes = 1 << 20
	// readHeaderTimeout limits how long the header of a request may take to arrive.
	readHeaderTimeout = 5 * time.Second
	// dialTimeout limits how long connecting to a socket may take. If that succeeds, a dispatcher listens on the socket.
	dialTimeout = time.Second
	// socketMode lets only the owner open the socket.
	socketMode = 0o600
)

// Server serves operations on a control socket.
type Server struct {
	http *http.Server
	path string
}

// Listen opens the control socket at path and serves the operations on it until Close. It replaces a socket on which no
// process listens, because a dispatcher that was killed leaves its socket behind. It fails if a process listens on the socket
// or if the file at path is not a socket.
func Listen(path string, operations Operations) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := listenPrivate(path)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	for name, handle := range operationHandlers {
		mux.Handle("POST "+pathPrefix+name, serveOperation(operations, handle))
	}
	s := &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, path: path}
	go s.http.Serve(listener) // returns after Close
	return s, nil
}

// Close closes the socket and the connections on it, and removes its file.
func (s *Server) Close() error { return errors.Join(s.http.Close(), os.Remove(s.path)) }

// removeStaleSocket removes the socket at path if no process listens on it.
func removeStaleSocket(path string) error {
	if conn, err := net.DialTimeout("unix", path, dialTimeout); err == nil {
		conn.Close()
		return fmt.Errorf("%s: another dispatcher has this control socket", path)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // either there is no file, or listening fails and returns the cause
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s is there and is no socket", path)
	}
	return os.Remove(path)
}

// listenPrivate listens on a unix socket that only its owner may open. The socket is created under a
// temporary name and gets its path after its mode is set, so that other users can never open it at this path.
func listenPrivate(path string) (net.Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, socketMode), os.Rename(temporary, path)); err != nil {
		listener.Close()
		os.Remove(temporary)
		return nil, err
	}
	return listener, nil
}

// serveOperation returns the HTTP handler of one operation.
func serveOperation(operations Operations, handle operationHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req request
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		decoder.DisallowUnknownFields() // a newer client's parameter must not be ignored silently
		var resp response
		err := decoder.Decode(&req)
		if err == nil {
			resp, err = handle(operations, req)
		}
		if err != nil {
			resp = response{ErrorCode: errorCode(err), ErrorText: err.Error()}
			w.WriteHeader(http.StatusConflict)
		}
		json.NewEncoder(w).Encode(resp)
	}
}

// operationHandler calls one operation with the parameters of a request and returns its result as a response.
type operationHandler func(Operations, request) (response, error)

var operationHandlers = map[string]operationHandler{
	operationList: func(operations Operations, req request) (response, error) {
		found, err := operations.List(req.Filter)
		return response{Invocations: found}, err
	},
	operationShow: func(operations Operations, req request) (response, error) {
		found, err := operations.Show(req.ID)
		return response{Invocations: []Invocation{found}}, err
	},
	operationRedrive: func(operations Operations, req request) (response, error) {
		created, err := operations.Redrive(req.ID, req.Confirmed, req.Reason)
		return response{Invocations: []Invocation{created}}, err
	},
	operationPurge: func(operations Operations, req request) (response, error) {
		count, err := operations.Purge(req.IDs, req.MinAge)
		return response{Count: count}, err
	},
	operationSnapshot: func(operations Operations, req request) (response, error) {
		if !filepath.IsAbs(req.SnapshotPath) { // the client may have another working directory than the dispatcher
			return response{}, errors.New("the path of the snapshot must be absolute")
		}
		return response{}, operations.Snapshot(req.SnapshotPath)
	},
	operationVerify: func(operations Operations, _ request) (response, error) {
		count, err := operations.Verify()
		return response{Count: count}, err
	},
	operationCompact: func(operations Operations, _ request) (response, error) {
		before, after, err := operations.Compact()
		return response{SizeBefore: before, SizeAfter: after}, err
	},
}
