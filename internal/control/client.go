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
	"time"

	"kitefall/internal/invocation/store"
)

// maxErrorText limits, in bytes, how much is quoted of a response that is not the protocol's.
const maxErrorText = 200

// errNoInvocation says that the dispatcher's response lacks the invocation that it should hold.
var errNoInvocation = errors.New("control socket: the response holds no invocation")

// client calls the operations of a running dispatcher.
type client struct{ http *http.Client }

// Dial returns the operations of the dispatcher that listens on the control socket, and whether there is one.
func Dial(path string) (Operations, bool) {
	conn, err := net.DialTimeout("unix", path, dialTimeout)
	if err != nil {
		return nil, false
	}
	conn.Close()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}
	return &client{&http.Client{Transport: transport}}, true
}

// call sends a request for the named operation. An error of the operation itself is a *remoteError.
func (c *client) call(operation string, req request) (response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return response{}, err
	}
	// The host is not used: the transport dials the socket.
	httpResp, err := c.http.Post("http://dispatcher"+pathPrefix+operation, "application/json", bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	defer httpResp.Body.Close()
	return decodeResponse(httpResp)
}

func decodeResponse(httpResp *http.Response) (response, error) {
	failed := httpResp.StatusCode == http.StatusConflict
	if httpResp.StatusCode != http.StatusOK && !failed {
		text, _ := io.ReadAll(io.LimitReader(httpResp.Body, maxErrorText))
		return response{}, fmt.Errorf("control socket: status %d: %s", httpResp.StatusCode, text)
	}
	var resp response
	if err := json.NewDecoder(httpResp.Body).Decode(&resp); err != nil {
		return resp, err
	}
	if failed {
		return resp, &remoteError{text: resp.ErrorText, cause: errorCodes[resp.ErrorCode]}
	}
	return resp, nil
}

// callForOne calls an operation whose response holds one invocation.
func (c *client) callForOne(operation string, req request) (Invocation, error) {
	resp, err := c.call(operation, req)
	if err != nil {
		return Invocation{}, err
	}
	if len(resp.Invocations) != 1 {
		return Invocation{}, errNoInvocation
	}
	return resp.Invocations[0], nil
}

func (c *client) List(filter store.Filter) ([]Invocation, error) {
	resp, err := c.call(operationList, request{Filter: filter})
	return resp.Invocations, err
}

func (c *client) Show(id string) (Invocation, error) {
	return c.callForOne(operationShow, request{ID: id})
}

func (c *client) Redrive(id string, confirmed bool, reason string) (Invocation, error) {
	return c.callForOne(operationRedrive, request{ID: id, Confirmed: confirmed, Reason: reason})
}

func (c *client) Purge(ids []string, minAge time.Duration) (int, error) {
	resp, err := c.call(operationPurge, request{IDs: ids, MinAge: minAge})
	return resp.Count, err
}

func (c *client) Snapshot(path string) error {
	_, err := c.call(operationSnapshot, request{SnapshotPath: path})
	return err
}

func (c *client) Verify() (int, error) {
	resp, err := c.call(operationVerify, request{})
	return resp.Count, err
}

func (c *client) Compact() (before, after int64, err error) {
	resp, err := c.call(operationCompact, request{})
	return resp.SizeBefore, resp.SizeAfter, err
}
