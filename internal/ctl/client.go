// Package ctl implements the commands of figfrontctl and the client of the
// administration API that they use.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/admin"
)

// requestTimeout limits the time of one request to the API.
const requestTimeout = 20 * time.Second

// maxResponseBytes is the largest response body that is read.
const maxResponseBytes = 64 << 20

// Client is a client of the administration API for one team.
type Client struct {
	baseURL string
	token   string
	author  string
	http    *http.Client
}

// NewClient returns a client of the API at base, such as http://127.0.0.1:7300.
// author is the name that changes are recorded under.
func NewClient(base, team, token, author string) *Client {
	return &Client{
		baseURL: strings.TrimSuffix(base, "/") + "/v1/teams/" + team,
		token:   token,
		author:  author,
		http:    &http.Client{Timeout: requestTimeout},
	}
}

// RefusedError is returned when the API responds with an error status.
type RefusedError struct {
	Problem admin.Problem
}

// Error returns the status and detail, followed by one line for each invalid setting
// and one for the active revision, if the response has them.
func (e *RefusedError) Error() string {
	result := "refused"
	if e.Problem.Status == http.StatusGatewayTimeout {
		result = "result unknown"
	}
	lines := []string{fmt.Sprintf("%s (%d): %s", result, e.Problem.Status, e.Problem.Detail)}
	for _, fault := range e.Problem.Faults {
		lines = append(lines, fault.Error())
	}
	if e.Problem.Current != nil {
		lines = append(lines, fmt.Sprintf("in force: revision %d by %q", e.Problem.Current.Revision, e.Problem.Current.Author))
	}
	return strings.Join(lines, "\n")
}

// request is one request to the API.
type request struct {
	method string
	path   string
	body   string
	header http.Header
}

// do sends a request and decodes the JSON response into dst, unless dst is nil or the
// response body is empty. A response with an error status is returned as a *RefusedError.
func (c *Client) do(ctx context.Context, r request, dst any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, strings.NewReader(r.body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	if r.header != nil {
		httpRequest.Header = r.header
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "call the administration API")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return newRefusedError(response.StatusCode, body)
	}
	if dst == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, dst); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// newRefusedError returns the error for a response with an error status. If the body
// is not the JSON of a problem, its text becomes the detail.
func newRefusedError(status int, body []byte) error {
	refused := &RefusedError{}
	if err := json.Unmarshal(body, &refused.Problem); err != nil {
		refused.Problem = admin.Problem{Status: status, Detail: strings.TrimSpace(string(body))}
	}
	return refused
}

// Get returns the active configuration.
func (c *Client) Get(ctx context.Context) (admin.Config, error) {
	var config admin.Config
	err := c.do(ctx, request{method: http.MethodGet, path: "/config"}, &config)
	return config, err
}

// GetRevision returns one revision of the configuration.
func (c *Client) GetRevision(ctx context.Context, revision uint64) (admin.Config, error) {
	var config admin.Config
	path := "/history/" + strconv.FormatUint(revision, 10)
	err := c.do(ctx, request{method: http.MethodGet, path: path}, &config)
	return config, err
}

// History returns the team's revisions above after or, if after is 0, the latest ones,
// oldest first. The API limits how many it returns.
func (c *Client) History(ctx context.Context, after uint64) ([]admin.Config, error) {
	var history []admin.Config
	path := "/history"
	if after > 0 {
		path += "?after=" + strconv.FormatUint(after, 10)
	}
	err := c.do(ctx, request{method: http.MethodGet, path: path}, &history)
	return history, err
}

// Check validates settings without applying them. If they are invalid, it returns a
// *RefusedError that lists the faults.
func (c *Client) Check(ctx context.Context, settings string) error {
	return c.do(ctx, request{method: http.MethodPost, path: "/check", body: settings}, nil)
}

// Change is a change of a team's configuration.
type Change struct {
	// From is the active revision that the change starts from; 0 if there is none.
	From uint64
	// ID identifies the change. A change that is sent again with the same ID is not
	// committed a second time.
	ID       string
	Settings string
}

// Apply commits a change and returns the resulting configuration.
func (c *Client) Apply(ctx context.Context, change Change) (admin.Config, error) {
	header := http.Header{}
	header.Set("If-Match", strconv.FormatUint(change.From, 10))
	header.Set(admin.HeaderChangeID, change.ID)
	header.Set(admin.HeaderAuthor, c.author)
	var config admin.Config
	err := c.do(ctx, request{method: http.MethodPut, path: "/config", body: change.Settings, header: header}, &config)
	return config, err
}

// Status returns the state and revisions of each VM.
func (c *Client) Status(ctx context.Context) ([]admin.VMStatus, error) {
	var status []admin.VMStatus
	err := c.do(ctx, request{method: http.MethodGet, path: "/status"}, &status)
	return status, err
}
