package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/strictconn"
)

// maxResponseBytes limits the size of a response of the table or the list of VMs.
const maxResponseBytes = 64 << 20

// Timeouts of the client.
const (
	// CallTimeout limits a call to the table or the list of VMs.
	CallTimeout = 2 * time.Second
	// ObjectTimeout limits the transfer of one object to the object store.
	ObjectTimeout = 10 * time.Minute
)

// Client calls the platform's services over HTTP. It implements Table, Objects and
// VMLister and is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at address (IP:port). If transport is nil,
// the client creates its own.
func NewClient(address string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = strictconn.Transport{Transport: &http.Transport{
			DialContext: strictconn.Dial(nil), MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
		}}
	}
	return &Client{base: "http://" + address, http: NewHTTPClient(transport)}
}

// NewHTTPClient returns a client for a platform's services. It follows no redirects: the
// response to the request that follows one says nothing about a write.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

var (
	_ Table    = (*Client)(nil)
	_ Objects  = (*Client)(nil)
	_ VMLister = (*Client)(nil)
)

// Commit runs a transaction; see Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	return c.call(ctx, http.MethodPost, "/table/transactions", body, nil)
}

// Get returns a row; see Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// List returns the rows of a page; see Table.
func (c *Client) List(ctx context.Context, page Page) ([]Row, error) {
	limit := page.Limit
	if limit == 0 {
		limit = DefaultPageRows
	}
	query := url.Values{}
	query.Set("prefix", page.Prefix)
	query.Set("after", page.After)
	query.Set("limit", strconv.Itoa(limit))
	var rows []Row
	err := c.call(ctx, http.MethodGet, "/table/rows?"+query.Encode(), nil, &rows)
	return rows, err
}

// VMs returns the platform's list of VMs; see VMLister.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.call(ctx, http.MethodGet, "/membership/vms", nil, &vms)
	return vms, err
}

// call sends one request and decodes the JSON response into dst unless dst is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return FromTransportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	if dst == nil {
		return nil
	}
	if err := json.Unmarshal(reply, dst); err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	return nil
}

// FromTransportError maps an error of an HTTP transport to an error of this package. It
// returns ErrUnavailable if the connection could not be opened, as nothing was sent
// then, and ErrUncertain otherwise.
func FromTransportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUncertain, err.Error())
}

// statusError maps an HTTP status of the platform to an error of this package.
func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return errors.Wrapf(ErrUncertain, "status %d", status)
	}
}

// Put stores an object; see Objects.
func (c *Client) Put(ctx context.Context, key string, body io.Reader, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, ObjectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key), body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.ContentLength = size
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	return statusError(response.StatusCode)
}

// objectURL returns the URL of an object.
func (c *Client) objectURL(key string) string {
	return c.base + "/objects?key=" + url.QueryEscape(key)
}

// Open opens an object; see Objects. Only ctx limits the time of the transfer.
func (c *Client) Open(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.objectURL(key), nil)
	if err != nil {
		return nil, 0, errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, errors.Wrap(ErrUncertain, err.Error())
	}
	if err := statusError(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, 0, err
	}
	return response.Body, response.ContentLength, nil
}

// Delete deletes an object; see Objects.
func (c *Client) Delete(ctx context.Context, key string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.objectURL(key), nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	return statusError(response.StatusCode)
}
