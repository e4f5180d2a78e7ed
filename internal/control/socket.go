package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"kitefall/internal/invocation/store"
)

// The control socket speaks HTTP: one POST an operation, at /v1/NAME, with a request and an answer in JSON. It is a
// unix socket that its owner alone may open; who can, may do everything.

type request struct {
	Filter store.Filter `json:"filter,omitzero"`
	ID     string       `json:"id,omitempty"`
	IDs    []string     `json:"ids,omitempty"`
	Sure   bool         `json:"sure,omitempty"`
	Reason string       `json:"reason,omitempty"`
	Before time.Time    `json:"before,omitzero"`
	To     string       `json:"to,omitempty"`
}

type answer struct {
	Tickets []Invocation `json:"tickets,omitempty"`
	Count   int          `json:"count,omitempty"`
	Before  int64        `json:"before,omitempty"`
	After   int64        `json:"after,omitempty"`
	Fault   string       `json:"fault,omitempty"`
	Text    string       `json:"text,omitempty"`
}

var operations = map[string]func(Operations, request) (answer, error){
	"list": func(t Operations, q request) (a answer, err error) {
		a.Tickets, err = t.List(q.Filter)
		return a, err
	},
	"show": func(t Operations, q request) (answer, error) { return one(t.Show(q.ID)) },
	"redrive": func(t Operations, q request) (answer, error) {
		return one(t.Redrive(q.ID, q.Sure, q.Reason))
	},
	"purge": func(t Operations, q request) (a answer, err error) {
		a.Count, err = t.Purge(q.IDs, q.Before)
		return a, err
	},
	"snapshot": func(t Operations, q request) (answer, error) {
		if !filepath.IsAbs(q.To) { // the dispatcher's folder is not that of who asks
			return answer{}, errors.New("the snapshot's path is not absolute")
		}
		return answer{}, t.Snapshot(q.To)
	},
	"verify": func(t Operations, _ request) (a answer, err error) {
		a.Count, err = t.Verify()
		return a, err
	},
	"compact": func(t Operations, _ request) (a answer, err error) {
		a.Before, a.After, err = t.Compact()
		return a, err
	},
}

func one(t Invocation, err error) (answer, error) { return answer{Tickets: []Invocation{t}}, err }

const mostRequest = 1 << 20

// Socket is an open control socket.
type Server struct {
	server *http.Server
	path   string
}

// Listen opens the control socket at path. One that a dispatcher has left behind when it was killed is replaced; one
// that somebody answers on is not.
func Listen(path string, t Operations) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another dispatcher has this control socket", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	// The socket gets its name only once nobody but its owner may open it.
	tmp := fmt.Sprintf("%s.%d", path, os.Getpid())
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tmp, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(tmp, 0o600), os.Rename(tmp, path)); err != nil {
		ln.Close()
		os.Remove(tmp)
		return nil, err
	}
	mux := http.NewServeMux()
	for name, do := range operations {
		mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
			q := request{}
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostRequest))
			decoder.DisallowUnknownFields() // of a newer command: half of what it asks for would be left out
			a, err := answer{}, decoder.Decode(&q)
			if err == nil {
				a, err = do(t, q)
			}
			if err != nil {
				a = answer{Fault: wordOf(err), Text: err.Error()}
				w.WriteHeader(http.StatusConflict)
			}
			json.NewEncoder(w).Encode(a)
		})
	}
	s := &Server{server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, path: path}
	go s.server.Serve(ln)
	return s, nil
}

// Close closes the socket and removes it.
func (s *Server) Close() error { return errors.Join(s.server.Close(), os.Remove(s.path)) }

// client asks a running dispatcher.
type client struct{ http *http.Client }

// Dial returns the tickets of the dispatcher at the control socket, if there is one.
func Dial(path string) (Operations, bool) {
	c, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return nil, false
	}
	c.Close()
	tr := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}
	return &client{&http.Client{Transport: tr}}, true
}

// said is an error that the dispatcher told of, with the meaning that it has there.
type said struct {
	text string
	is   error
}

func (s *said) Error() string { return s.text }
func (s *said) Unwrap() error { return s.is }

func (c *client) ask(name string, q request) (a answer, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return a, err
	}
	r, err := c.http.Post("http://dispatcher/v1/"+name, "application/json", bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusConflict {
		text, _ := io.ReadAll(io.LimitReader(r.Body, 200))
		return a, errors.New("the dispatcher says " + strconv.Itoa(r.StatusCode) + ": " + string(text))
	}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		return a, err
	}
	if r.StatusCode == http.StatusConflict {
		return a, &said{a.Text, faults[a.Fault]}
	}
	return a, nil
}

func (c *client) ticket(a answer, err error) (Invocation, error) {
	if err == nil && len(a.Tickets) != 1 {
		err = errors.New("the dispatcher tells of no ticket")
	}
	if err != nil {
		return Invocation{}, err
	}
	return a.Tickets[0], nil
}

func (c *client) List(f store.Filter) ([]Invocation, error) {
	a, err := c.ask("list", request{Filter: f})
	return a.Tickets, err
}

func (c *client) Show(id string) (Invocation, error) { return c.ticket(c.ask("show", request{ID: id})) }

func (c *client) Redrive(id string, sure bool, reason string) (Invocation, error) {
	return c.ticket(c.ask("redrive", request{ID: id, Sure: sure, Reason: reason}))
}

func (c *client) Purge(ids []string, before time.Time) (int, error) {
	a, err := c.ask("purge", request{IDs: ids, Before: before})
	return a.Count, err
}

func (c *client) Snapshot(to string) error {
	_, err := c.ask("snapshot", request{To: to})
	return err
}

func (c *client) Verify() (int, error) {
	a, err := c.ask("verify", request{})
	return a.Count, err
}

func (c *client) Compact() (before, after int64, err error) {
	a, err := c.ask("compact", request{})
	return a.Before, a.After, err
}
