package settings

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/pipeline"
	"chicoryhall.example/chicoryhall/strict"
)

const maxDrainTimeout = time.Hour

// LoadDocumentDaemon reads and checks the settings file of a DocumentDaemon. Errors in the file are returned as
// strict.Problems.
func LoadDocumentDaemon(path string) (*DocumentDaemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseDocumentDaemon(path, text)
}

// ParseDocumentDaemon parses and checks the text of a DocumentDaemon's settings file; name is the file name in messages.
// Errors in the text are returned as strict.Problems.
func ParseDocumentDaemon(name string, text []byte) (*DocumentDaemon, error) {
	var d DocumentDaemon
	file := strict.Decode(name, text, &d)
	checkDocumentDaemon(file, &d)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

func checkDocumentDaemon(file *strict.File, d *DocumentDaemon) {
	file.CheckName("id", string(d.ID))
	file.CheckName("region", string(d.Region))
	file.CheckName("failureDomain", string(d.FailureDomain))
	checkListen(file, d.Listen)
	checkAdvertise(file, d.Advertise)
	checkSeeds(file, d.Seeds)
	file.CheckAddress("platform.table", d.Platform.Table)
	file.CheckAddress("platform.objects", d.Platform.Objects)
	file.CheckAddress("platform.weights", d.Platform.Weights)
	file.CheckAddress("platform.vmList", d.Platform.VMList)
	if (d.TLS.Certificate == "") != (d.TLS.Key == "") {
		file.AddError("tls", "one of certificate and key is missing; write both, or leave tls out for plain TCP")
	}
	file.CheckDuration("drainTimeout", d.DrainTimeout, time.Second, maxDrainTimeout)
	if _, err := log.ParseLevel(d.LogLevel); d.LogLevel != "" && err != nil {
		file.AddError("logLevel", "%q is not known; write one of: debug, info, warn, error", d.LogLevel)
	}
	if _, err := pipeline.PolicyString(d.RoutingPolicy); d.RoutingPolicy != "" && err != nil {
		file.AddError("router", "%q is not known; write one of: %s", d.RoutingPolicy, strings.Join(pipeline.PolicyStrings(), ", "))
	}
}

func checkListen(file *strict.File, listen Listen) {
	seen := map[string]string{}
	for _, field := range []struct{ path, address string }{
		{"listen.callers", listen.Callers},
		{"listen.operators", listen.Operators},
		{"listen.peers", listen.Peers},
	} {
		file.CheckAddress(field.path, field.address)
		if other, twice := seen[field.address]; twice && file.IsValid(field.path) {
			file.AddError(field.path, "%s is also the address of %s; write another port", field.address, other)
		}
		seen[field.address] = field.path
	}
}

func checkAdvertise(file *strict.File, advertise Advertise) {
	if advertise.Callers != "" {
		file.CheckAddress("advertise.callers", advertise.Callers)
	}
	if advertise.Peers != "" {
		file.CheckAddress("advertise.peers", advertise.Peers)
	}
}

func checkSeeds(file *strict.File, seeds []string) {
	seen := map[string]bool{}
	for i, seed := range seeds {
		path := "seeds[" + strconv.Itoa(i) + "]"
		file.CheckAddress(path, seed)
		if seen[seed] {
			file.AddError(path, "%s is given twice; write it once", seed)
		}
		seen[seed] = true
	}
}
