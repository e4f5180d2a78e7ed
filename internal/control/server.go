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
	// maxRequestBytes limits the size of a request.
	maxRequestBytes = 1 << 20
	// readHeaderTimeout limits how long the header of a request may take to arrive.
	readHeaderTimeout = 5 * time.Second
	// dialTimeout limits how long it may take to find out whether a dispatcher answers on a socket.
	dialTimeout = time.Second
	// socketMode lets only the owner open the socket.
	socketMode = 0o600
)

// Server is an open control socket.
type Server struct {
	http *http.Server
	path string
}

// Listen opens the control socket at path and serves the operations on it until Close. It replaces a socket that nobody
// listens on, as a dispatcher that was killed leaves one behind. It fails if somebody listens on the socket or if the path
// is another kind of file.
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
	go s.http.Serve(listener) // ended by Close
	return s, nil
}

// Close closes the socket, with the connections on it, and removes it.
func (s *Server) Close() error { return errors.Join(s.http.Close(), os.Remove(s.path)) }

func removeStaleSocket(path string) error {
	if conn, err := net.DialTimeout("unix", path, dialTimeout); err == nil {
		conn.Close()
		return fmt.Errorf("%s: another dispatcher has this control socket", path)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // nothing is there, else listening says what is wrong
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s is there and is no socket", path)
	}
	return os.Remove(path)
}

// listenPrivate listens on a unix socket. It gets its path only after others have lost the right to open it.
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

// serveOperation answers requests for one operation.
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

// operationHandler calls one operation with the parameters of a request.
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
		if !filepath.IsAbs(req.SnapshotPath) { // the dispatcher's working directory is not the client's
			return response{}, errors.New("the snapshot's path is not absolute")
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
