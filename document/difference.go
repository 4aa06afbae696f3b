package document

import (
	"fmt"

	"github.com/rogpeppe/go-internal/diff"

	"chicoryhall.example/chicoryhall"
)

// Difference returns a unified diff of two texts, or "" if they are equal.
func Difference(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, []byte(oldText), newName, []byte(newText)))
}

// Effects returns warnings about a change: classes and organisations that are removed, lower rate limits, new credentials,
// and failure domains that no longer hold all layers.
func Effects(before, after *chicoryhall.Document) []string {
	var effects []string
	for _, class := range before.Classes {
		if !hasClass(after, class.Name) {
			effects = append(effects, fmt.Sprintf("requests of class %s will be refused", class.Name))
		}
	}
	for _, organisation := range before.Organisations {
		effects = append(effects, organisationEffects(organisation, after)...)
	}
	if before.Kind == chicoryhall.ServicePipeline && after.Kind == chicoryhall.ServicePipeline {
		effects = append(effects, domainEffects(before, after)...)
	}
	return effects
}

func organisationEffects(before chicoryhall.DocumentOrganisation, after *chicoryhall.Document) []string {
	for _, organisation := range after.Organisations {
		if organisation.Name != before.Name {
			continue
		}
		var effects []string
		if organisation.RequestsPerSecond < before.RequestsPerSecond {
			effects = append(effects, fmt.Sprintf("the limit of %s falls from %g to %g requests a second",
				before.Name, before.RequestsPerSecond, organisation.RequestsPerSecond))
		}
		if organisation.Credential != before.Credential {
			effects = append(effects, fmt.Sprintf("callers of %s need the new token at once", before.Name))
		}
		return effects
	}
	return []string{fmt.Sprintf("callers of %s will be refused", before.Name)}
}

// domainEffects returns a warning for each failure domain that no longer holds the whole model.
func domainEffects(before, after *chicoryhall.Document) []string {
	var effects []string
	seen := map[chicoryhall.FailureDomain]bool{}
	for _, endpoint := range before.Endpoints {
		domain := endpoint.FailureDomain
		if seen[domain] {
			continue
		}
		seen[domain] = true
		if layersCoveredIn(before, domain) == before.Model.Layers && layersCoveredIn(after, domain) < after.Model.Layers {
			effects = append(effects, fmt.Sprintf("failure domain %s no longer holds the whole model; cut off, it can serve nothing", domain))
		}
	}
	return effects
}

// layersCoveredIn returns the number of layers that the longest chain within one failure domain covers.
func layersCoveredIn(d *chicoryhall.Document, domain chicoryhall.FailureDomain) int {
	var endpoints []chicoryhall.DocumentEndpoint
	for _, endpoint := range d.Endpoints {
		if endpoint.FailureDomain == domain {
			endpoints = append(endpoints, endpoint)
		}
	}
	return CoveredLayers(endpoints, "")
}

func hasClass(d *chicoryhall.Document, name chicoryhall.ClassName) bool {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return true
		}
	}
	return false
}
