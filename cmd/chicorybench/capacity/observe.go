package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
	"chicoryhall.example/chicoryhall/settings"
)

// The observed metrics of a daemon.
const (
	metricPeerBytes = "chicoryhall_peer_bytes_total"
	metricCPU       = "process_cpu_seconds_total"
	metricMemory    = "process_resident_memory_bytes"
)

// The names of the observed measurements, to which " by DRIVER" is appended.
const (
	observedMessages  = "observed messages"
	observedProcessor = "observed processor time"
	observedMemory    = "observed memory"
)

// observeTimeout bounds reading the metrics of one daemon.
const observeTimeout = 5 * time.Second

// observation contains the observed metrics, summed over all daemons.
type observation struct {
	peerBytes float64
	cpu       float64
	memory    float64
}

// Observe reads the metrics of all daemons of a running deployment twice, with the given time in between, and
// returns the mean costs per daemon as one point of each measurement.
func Observe(ctx context.Context, folder, driver string, size float64, length time.Duration) (*slope.File, error) {
	addresses, err := callerAddresses(folder)
	if err != nil {
		return nil, err
	}
	before, err := readAll(ctx, addresses)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(length):
	}
	after, err := readAll(ctx, addresses)
	if err != nil {
		return nil, err
	}
	seconds := length.Seconds()
	daemons := float64(len(addresses))
	point := func(name, unit string, cost float64) slope.Measurement {
		return slope.Measurement{
			Name: name + " by " + driver, Unit: unit, Driver: driver, Command: "chicorybench observe",
			Points: []slope.Point{{Size: size, Cost: cost / daemons}},
		}
	}
	return &slope.File{Measurements: []slope.Measurement{
		point(observedMessages, "bytes/s", (after.peerBytes-before.peerBytes)/seconds),
		point(observedProcessor, "% of a core", 100*(after.cpu-before.cpu)/seconds),
		point(observedMemory, "bytes", after.memory),
	}}, nil
}

// callerAddresses returns the addresses at which the daemons of a deployment serve callers and metrics.
func callerAddresses(folder string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "daemons", "*.yaml"))
	if err != nil || len(paths) == 0 {
		return nil, errors.Errorf("folder %q contains no daemons/*.yaml; write it with \"chicorybench layout\"", folder)
	}
	addresses := make([]string, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read settings")
		}
		var daemonSettings settings.DocumentDaemon
		if err := yaml.Unmarshal(text, &daemonSettings); err != nil {
			return nil, errors.Wrapf(err, "decode settings %s", path)
		}
		addresses = append(addresses, daemonSettings.Listen.Callers)
	}
	return addresses, nil
}

// readAll returns the sum of all daemons' metrics.
func readAll(ctx context.Context, addresses []string) (observation, error) {
	var sum observation
	for _, address := range addresses {
		metrics, err := readMetrics(ctx, address)
		if err != nil {
			return sum, err
		}
		sum.peerBytes += metrics.peerBytes
		sum.cpu += metrics.cpu
		sum.memory += metrics.memory
	}
	return sum, nil
}

// readMetrics returns the metrics of one daemon.
func readMetrics(ctx context.Context, address string) (observation, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutCtx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return observation{}, errors.Wrapf(err, "create request for the metrics of %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return observation{}, errors.Wrapf(err, "fetch the metrics of %s", address)
	}
	defer response.Body.Close()
	return sumMetrics(response.Body), nil
}

// sumMetrics sums each observed metric over its labels.
func sumMetrics(body io.Reader) observation {
	var o observation
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value := metricOf(lines.Text())
		switch name {
		case metricPeerBytes:
			o.peerBytes += value
		case metricCPU:
			o.cpu += value
		case metricMemory:
			o.memory += value
		}
	}
	return o
}

// metricOf returns the name of the metric in a line, without labels, and its value. It returns "" for other lines.
func metricOf(line string) (string, float64) {
	end := strings.LastIndexByte(line, ' ')
	if end < 0 {
		return "", 0
	}
	value, err := strconv.ParseFloat(line[end+1:], 64)
	if err != nil {
		return "", 0
	}
	name, _, _ := strings.Cut(line[:end], "{")
	return name, value
}

// Describe returns one line of text for each measurement, with its last point.
func Describe(f *slope.File) string {
	var b strings.Builder
	for _, m := range f.Measurements {
		last := m.Points[len(m.Points)-1]
		fmt.Fprintf(&b, "%s: %.4g %s at %g\n", m.Name, last.Cost, m.Unit, last.Size)
	}
	return b.String()
}
