package vmlist

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

const (
	// listTimeout bounds one request for the list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list.
	maxListBytes = 4 << 20
)

// Client reads the platform's list of VMs.
type Client struct {
	address string
	loop    *nbhttp.Engine
	client  *nbhttp.Client
}

// NewClient returns a Client for the list at an address (IP:PORT). It can be used at once; Serve only stops it and
// releases its resources.
func NewClient(address string) (*Client, error) {
	loop := nbhttp.NewEngine(nbhttp.Config{Name: "vmlist", NPoller: 1, ReadLimit: maxListBytes, MaxHTTPBodySize: maxListBytes})
	if err := loop.Start(); err != nil {
		return nil, errors.WithMessage(err, "start the client of the VM list")
	}
	return &Client{
		address: address, loop: loop,
		client: &nbhttp.Client{Engine: loop, Timeout: listTimeout, MaxConnsPerHost: 1},
	}, nil
}

// Serve waits until ctx ends and then stops the client.
func (c *Client) Serve(ctx context.Context) error {
	<-ctx.Done()
	c.client.Close()
	c.loop.Stop()
	return ctx.Err()
}

// String returns the name under which the supervisor logs this service.
func (c *Client) String() string { return "VM list client" }

// List reads the list and calls done once with the list and its size in bytes. It may call done on another
// goroutine, or before it returns. List must not be called after Serve has ended.
func (c *Client) List(done func(list List, size int, err error)) {
	fail := func(err error) {
		done(List{}, 0, errors.WithMessagef(err, "read the VM list at %s", c.address))
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+c.address+"/v1/vms", nil)
	if err != nil {
		fail(err)
		return
	}
	c.client.Do(request, func(response *http.Response, _ net.Conn, err error) {
		if err != nil {
			fail(err)
			return
		}
		list, size, err := decodeList(response)
		if err != nil {
			fail(err)
			return
		}
		done(list, size, nil)
	})
}

// decodeList decodes the body of an answer and returns the list and its size in bytes of JSON.
func decodeList(response *http.Response) (List, int, error) {
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return List{}, 0, errors.Errorf("status %d", response.StatusCode)
	}
	var list List
	decoder := json.NewDecoder(response.Body)
	if err := decoder.Decode(&list); err != nil {
		return List{}, 0, errors.WithMessage(err, "decode")
	}
	return list, int(decoder.InputOffset()), nil
}
