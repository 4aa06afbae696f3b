package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

const (
	drafting     = chicoryhall.ServiceName("reply-drafting")
	booking      = chicoryhall.ServiceName("venue-booking")
	domain       = chicoryhall.FailureDomain("xinyi")
	organisation = chicoryhall.Organisation("studio")
	team         = "lantern-vow"
	callerToken  = "studio-token"

	operatorToken = "lantern-vow-operator-token"

	accelerator  = chicoryhall.AcceleratorKind("a")
	modelName    = "drafter"
	modelVersion = "1"
	layers       = 12
	stages       = 3
)

// The speed of the engines.
const (
	stepTime  = 4 * time.Millisecond
	layerTime = 20 * time.Microsecond
	batch     = 16
)

var model = digest.ModelOf(modelName, modelVersion)

// newDocument returns a document with the parts that both services have in common.
func newDocument(service chicoryhall.ServiceName, kind chicoryhall.ServiceKind) *chicoryhall.Document {
	sum := sha256.Sum256([]byte(callerToken))
	return &chicoryhall.Document{
		Service: service, Team: team, Kind: kind,
		Organisations: []chicoryhall.DocumentOrganisation{{
			Name: organisation, Credential: "sha256:" + hex.EncodeToString(sum[:]), Share: 1, RequestsPerSecond: 1000,
		}},
		Retries: chicoryhall.DocumentRetries{BudgetPercent: 50, MaxEndpoints: 4},
	}
}

// draftingDocument returns the document of the pipeline service.
func draftingDocument(engines []*engine) *chicoryhall.Document {
	d := newDocument(drafting, chicoryhall.ServicePipeline)
	d.Model = chicoryhall.DocumentModel{Name: modelName, Version: modelVersion, Layers: layers, KVBytes: 64}
	d.Classes = []chicoryhall.DocumentClass{
		{Name: "draft", Priority: 1, Idempotent: true, Timeout: 20 * time.Second, TargetLatency: time.Second},
	}
	d.Accelerators = []chicoryhall.DocumentAccelerator{
		{Kind: accelerator, StepTime: stepTime, LayerTokenTime: layerTime, MaxBatch: batch},
	}
	for _, e := range engines {
		d.Endpoints = append(d.Endpoints, chicoryhall.DocumentEndpoint{
			ID: e.id, Address: e.address, FailureDomain: domain, Accelerator: accelerator, From: e.from, To: e.to, Fencing: true,
		})
	}
	return d
}

// bookingDocument returns the document of the plain service.
func bookingDocument(endpoints []*plain) *chicoryhall.Document {
	d := newDocument(booking, chicoryhall.ServicePlain)
	d.Classes = []chicoryhall.DocumentClass{
		{Name: "availability", Priority: 0, Idempotent: true, Timeout: 5 * time.Second, TargetLatency: 200 * time.Millisecond},
		{Name: "hold", Priority: 0, Idempotent: false, Timeout: 5 * time.Second, TargetLatency: 200 * time.Millisecond},
	}
	for _, e := range endpoints {
		d.Endpoints = append(d.Endpoints, chicoryhall.DocumentEndpoint{ID: e.id, Address: e.address, FailureDomain: domain})
	}
	return d
}

// writeYAML writes a value to a YAML file and returns its path.
func writeYAML(t *testing.T, folder, name string, value any) string {
	t.Helper()
	text, err := yaml.Marshal(value)
	must.NoError(t, err)
	path := filepath.Join(folder, name)
	must.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}
