package layout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
)

// newService returns a service without classes. Its organisations are called organisationPrefix-1 and so on, and their
// shares decrease from the first to the last. Their rate limits are far above the rates of the plan.
func newService(name chicoryhall.ServiceName, team, organisationPrefix string, kind chicoryhall.ServiceKind) service {
	s := service{document: chicoryhall.Document{
		Service: name,
		Team:    team,
		Kind:    kind,
		Retries: chicoryhall.DocumentRetries{BudgetPercent: 20, MaxEndpoints: 4},
	}}
	for i := range organisationsPerService {
		token := fmt.Sprintf("%s-%s-%d", name, organisationPrefix, i+1)
		hash := sha256.Sum256([]byte(token))
		s.tokens = append(s.tokens, token)
		s.document.Organisations = append(s.document.Organisations, chicoryhall.DocumentOrganisation{
			Name:              chicoryhall.Organisation(fmt.Sprintf("%s-%d", organisationPrefix, i+1)),
			Credential:        "sha256:" + hex.EncodeToString(hash[:]),
			Share:             organisationsPerService - i,
			RequestsPerSecond: 1000,
		})
	}
	return s
}

// newModel returns the model of a pipeline service.
func newModel(name string) chicoryhall.DocumentModel {
	return chicoryhall.DocumentModel{Name: name, Version: "1", Layers: layersPerModel, KVBytes: kvBytesPerToken}
}

// lanternVowDrafting returns the pipeline service of the team lantern-vow.
func lanternVowDrafting() service {
	s := newService("reply-drafting", "lantern-vow", "studio", chicoryhall.ServicePipeline)
	s.document.Model = newModel("drafter")
	s.document.Classes = []chicoryhall.DocumentClass{
		{Name: "draft", Priority: 1, Idempotent: true, Timeout: 20 * time.Second, TargetLatency: 400 * time.Millisecond},
	}
	return s
}

// lanternVowBooking returns the plain service of the team lantern-vow. Its class hold is the only one that is not
// idempotent.
func lanternVowBooking() service {
	s := newService("venue-booking", "lantern-vow", "partner", chicoryhall.ServicePlain)
	s.document.Classes = []chicoryhall.DocumentClass{
		{Name: "availability", Priority: 0, Idempotent: true, Timeout: 3 * time.Second, TargetLatency: 100 * time.Millisecond},
		{Name: "hold", Priority: 0, Idempotent: false, Timeout: 5 * time.Second, TargetLatency: 200 * time.Millisecond},
	}
	return s
}

// associationAssistant returns the pipeline service of the team association.
func associationAssistant() service {
	s := newService("manual-assistant", "association", "garage", chicoryhall.ServicePipeline)
	s.document.Model = newModel("assistant")
	s.document.Classes = []chicoryhall.DocumentClass{
		{Name: "query", Priority: 0, Idempotent: true, Timeout: 15 * time.Second, TargetLatency: 400 * time.Millisecond},
	}
	return s
}

// associationLibrary returns the plain service of the team association.
func associationLibrary() service {
	s := newService("manual-library", "association", "garage", chicoryhall.ServicePlain)
	s.document.Classes = []chicoryhall.DocumentClass{
		{Name: "page", Priority: 1, Idempotent: true, Timeout: 5 * time.Second, TargetLatency: 200 * time.Millisecond},
	}
	return s
}
