package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// clientTimeout bounds one call of a Client, including reading the response.
const clientTimeout = 20 * time.Second

// maxResponseBytes bounds the size of a response body that a Client reads.
const maxResponseBytes = 64 << 20

// Client calls the operator API of one daemon.
type Client struct {
	base    string // URL without the path
	address string
	token   string
	http    *http.Client
}

// NewClient returns a Client of the daemon at address (IP:PORT). If roots, a list of
// PEM certificates, is not empty, the client uses TLS and trusts only these.
func NewClient(address, token string, roots []byte) (*Client, error) {
	c := &Client{base: "http://" + address, address: address, token: token, http: &http.Client{Timeout: clientTimeout}}
	if len(roots) == 0 {
		return c, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(roots) {
		return nil, errors.New("the root certificates contain no PEM certificate")
	}
	c.base = "https://" + address
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// List returns the newest versions of all documents of the team to which the token belongs.
func (c *Client) List(ctx context.Context) (DocumentList, error) {
	var list DocumentList
	return list, c.getJSON(ctx, "/v1/documents", &list)
}

// Get returns the newest text of a service's document and its ETag. Both are empty if the service has none.
func (c *Client) Get(ctx context.Context, service chicoryhall.ServiceName) (text, tag string, err error) {
	text, tag, err = c.call(ctx, http.MethodGet, documentPath(service), "", nil)
	var problem *Problem
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return "", "", nil
	}
	return text, tag, err
}

// GetVersion returns the text and ETag of one version. It returns an error if there is no such version.
func (c *Client) GetVersion(ctx context.Context, service chicoryhall.ServiceName, number int64) (text, tag string, err error) {
	return c.call(ctx, http.MethodGet, documentPath(service)+"/history/"+strconv.FormatInt(number, 10), "", nil)
}

// Apply makes text the newest version of a document, provided that tag is the ETag of the newest version so far. An
// empty tag creates a new service.
func (c *Client) Apply(ctx context.Context, service chicoryhall.ServiceName, text, tag string) (ApplyResult, error) {
	header := http.Header{"If-None-Match": {"*"}}
	if tag != "" {
		header = http.Header{"If-Match": {tag}}
	}
	var accepted ApplyResult
	response, _, err := c.call(ctx, http.MethodPut, documentPath(service), text, header)
	if err != nil {
		return ApplyResult{}, err
	}
	return accepted, c.decode(response, &accepted)
}

// Check returns the problems and effects of a text without applying it.
func (c *Client) Check(ctx context.Context, service chicoryhall.ServiceName, text string) (CheckResult, error) {
	var result CheckResult
	response, _, err := c.call(ctx, http.MethodPost, documentPath(service)+"/check", text, nil)
	if err != nil {
		return CheckResult{}, err
	}
	return result, c.decode(response, &result)
}

// History returns all versions of a service.
func (c *Client) History(ctx context.Context, service chicoryhall.ServiceName) (History, error) {
	var history History
	return history, c.getJSON(ctx, documentPath(service)+"/history", &history)
}

// Status returns the version that each daemon has in force.
func (c *Client) Status(ctx context.Context, service chicoryhall.ServiceName) (Status, error) {
	var status Status
	return status, c.getJSON(ctx, documentPath(service)+"/status", &status)
}

func documentPath(service chicoryhall.ServiceName) string {
	return "/v1/documents/" + url.PathEscape(string(service))
}

func (c *Client) getJSON(ctx context.Context, path string, value any) error {
	text, _, err := c.call(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	return c.decode(text, value)
}

func (c *Client) decode(text string, value any) error {
	return errors.Wrapf(json.Unmarshal([]byte(text), value), "decode the response of daemon %s", c.address)
}

func (c *Client) call(ctx context.Context, method, path, body string, header http.Header) (text, tag string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", "", errors.Wrapf(err, "call daemon %s", c.address)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return "", "", errors.Wrapf(err, "call daemon %s", c.address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", "", errors.Wrapf(err, "read the response of daemon %s", c.address)
	}
	if response.StatusCode == http.StatusOK {
		return string(content), response.Header.Get("ETag"), nil
	}
	return "", "", c.problem(response.StatusCode, content)
}

// problem returns the error for a response that is not a success.
func (c *Client) problem(status int, content []byte) error {
	problem := &Problem{}
	if err := json.Unmarshal(content, problem); err != nil || problem.Detail == "" {
		return errors.Errorf("daemon %s answered with status %d and no problem details; is this its operator address?", c.address, status)
	}
	return errors.WithMessagef(problem, "daemon %s", c.address)
}
