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

// maxErrorText limits how many bytes of a response's body are quoted in the error for an unexpected status.
const maxErrorText = 200

// errNoInvocation means that the dispatcher's response does not hold exactly one invocation, as the operation requires.
var errNoInvocation = errors.New("control socket: the response does not hold exactly one invocation")

// client implements Operations with requests to a running dispatcher.
type client struct{ http *http.Client }

// Dial returns the operations of the dispatcher that listens on the control socket at path. It returns false if none listens.
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

// call sends a request for the named operation. If the operation itself fails, the error is a *remoteError.
func (c *client) call(operation string, req request) (response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return response{}, err
	}
	// The host has no effect: the transport dials the socket.
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
		return response{}, fmt.Errorf("control socket: unexpected status %d: %s", httpResp.StatusCode, text)
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

// callForInvocation calls an operation whose response holds exactly one invocation.
func (c *client) callForInvocation(operation string, req request) (Invocation, error) {
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
	return c.callForInvocation(operationShow, request{ID: id})
}

func (c *client) Redrive(id string, confirmed bool, reason string) (Invocation, error) {
	return c.callForInvocation(operationRedrive, request{ID: id, Confirmed: confirmed, Reason: reason})
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
