// Package object is an HTTP client of the platform's object API and defines the
// paths and messages of that API. The Client implements store.Store:
//
//	c := object.New("http://127.0.0.1:7070")
//	o, err := c.Get(ctx, key)
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"geraniumstep.org/geraniumstep/pkg/store"
)

// The paths of the object API. The escaped key of an object is appended to
// PathObjects.
const (
	PathObjects = "/v1/objects/"
	PathList    = "/v1/list"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// Written is the response to a successful write. It holds the new version.
type Written struct {
	Version uint64 `json:"version"`
}

const (
	defaultTimeout = 2 * time.Second
	maxBodyBytes   = 64 << 20
	maxConns       = 16
)

// Client reads and writes objects over HTTP. It implements store.Store.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Option configures a Client at construction.
type Option func(*options)

type options struct {
	timeout   time.Duration
	transport *http.Transport
}

// WithTimeout sets the timeout of one call. The default is 2 s.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithDial sets how connections are opened. The default is plain TCP.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(o *options) { o.transport.DialContext = dial }
}

// WithTransport sets a function that modifies the HTTP transport, for example to
// enable TLS.
func WithTransport(change func(*http.Transport)) Option {
	return func(o *options) { change(o.transport) }
}

// New returns a Client for the object API at the base URL.
func New(base string, opts ...Option) *Client {
	o := options{
		timeout:   defaultTimeout,
		transport: &http.Transport{MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{base: base, http: &http.Client{Transport: o.transport}, timeout: o.timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var o store.Object
	err := c.call(ctx, c.timeout, http.MethodGet, PathObjects+url.PathEscape(key), nil, nil, &o)
	return o, err
}

// Put writes an object if its current version equals the given one, and returns
// the new version. The version store.Absent requires that the object does not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, merry.Prepend(store.ErrTooLarge, fmt.Sprintf("object %q has %d bytes", key, len(value)))
	}
	header := http.Header{}
	if version == store.Absent {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	var w Written
	err := c.call(ctx, c.timeout, http.MethodPut, PathObjects+url.PathEscape(key), header, value, &w)
	return w.Version, err
}

// List reads at most limit objects with the prefix whose keys are greater than
// after, ordered by key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]store.Object, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var list []store.Object
	err := c.call(ctx, c.timeout, http.MethodGet, PathList+"?"+q.Encode(), nil, nil, &list)
	return list, err
}

// Watch waits, for at most the given time, for objects with the prefix whose version
// is greater than the given one.
func (c *Client) Watch(ctx context.Context, prefix string, version uint64, wait time.Duration) ([]store.Object, error) {
	q := url.Values{"prefix": {prefix}, "version": {strconv.FormatUint(version, 10)}, "wait": {wait.String()}}
	var list []store.Object
	err := c.call(ctx, c.timeout+wait, http.MethodGet, PathWatch+"?"+q.Encode(), nil, nil, &list)
	return list, err
}

// VMs reads the list of VMs.
func (c *Client) VMs(ctx context.Context) ([]store.VM, error) {
	var list []store.VM
	err := c.call(ctx, c.timeout, http.MethodGet, PathVMs, nil, nil, &list)
	return list, err
}

// call sends one HTTP request and decodes the response into dst.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, header http.Header, body []byte, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	res, err := c.http.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return unavailable(err)
	}
	if err := statusError(res.StatusCode, path); err != nil {
		return err
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return unavailable(err)
	}
	return nil
}

func unavailable(err error) error { return merry.Wrap(store.ErrUnavailable, merry.WithCause(err)) }

func statusError(status int, path string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return merry.Prepend(store.ErrNotFound, path)
	case http.StatusPreconditionFailed:
		return merry.Prepend(store.ErrConflict, path)
	case http.StatusRequestEntityTooLarge:
		return merry.Prepend(store.ErrTooLarge, path)
	}
	return unavailable(errors.New(http.StatusText(status)))
}
