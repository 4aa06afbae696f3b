package watch

import (
	"encoding/json"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// loadTimeout bounds one fetch of a load report.
const loadTimeout = time.Second

// HTTPLoads fetches load reports by HTTP; it implements Loads.
type HTTPLoads struct {
	client *nbhttp.Client
}

// NewHTTPLoads returns a HTTPLoads on a started nbhttp engine.
func NewHTTPLoads(engine *nbhttp.Engine) *HTTPLoads {
	return &HTTPLoads{client: &nbhttp.Client{
		Engine:          engine,
		Timeout:         loadTimeout,
		MaxConnsPerHost: 1,
	}}
}

// Load asks the endpoint at an address.
func (l *HTTPLoads) Load(address string, done func(chicoryhall.Load, error)) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		done(chicoryhall.Load{}, errors.Wrapf(err, "ask endpoint %s for its load", address))
		return
	}
	l.client.Do(request, func(response *http.Response, _ net.Conn, err error) {
		load, err := decodeLoad(response, err)
		done(load, errors.Wrapf(err, "ask endpoint %s for its load", address))
	})
}

func decodeLoad(response *http.Response, err error) (chicoryhall.Load, error) {
	var load chicoryhall.Load
	if err != nil {
		return load, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return load, errors.Errorf("status %d", response.StatusCode)
	}
	return load, errors.Wrap(json.NewDecoder(response.Body).Decode(&load), "decode")
}

// observationOf tells what a failed fetch shows of the endpoint.
func observationOf(err error) chicoryhall.Observation {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return chicoryhall.ObservedRefusedConnection
	}
	return chicoryhall.ObservedSilence
}
