package document

import (
	"fmt"
	"regexp"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// The largest values of a document's fields.
const (
	maxLayers         = 1000
	maxKVBytes        = 1 << 24 // bytes of one position in one layer
	maxPriority       = 100
	maxTimeout        = 24 * time.Hour   // also of TargetLatency
	maxStepTime       = 10 * time.Second // also of LayerTokenTime
	maxBatch          = 100_000
	maxShare          = 1_000_000 // relative weight of an organisation
	maxRetryEndpoints = 16        // endpoints that one request may try
	maxDelay          = 10 * time.Second
	maxPercent        = 100
	maxRate           = 1e9 // requests a second
)

// credentialPattern matches an organisation's credential: the SHA-256 digest of its token.
var credentialPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// check reports all mistakes and warnings of a document that strict.Decode does not find. file.IsValid tells the checks
// whether a field is given and has no mistake so far, so that a mistake is reported only once.
func check(file *strict.File, d *chicoryhall.Document) {
	file.CheckName("service", string(d.Service))
	file.CheckName("team", d.Team)
	checkModel(file, d)
	checkClasses(file, d)
	checkOrganisations(file, d)
	file.CheckRange("retries.budgetPercent", int64(d.Retries.BudgetPercent), 0, maxPercent)
	file.CheckRange("retries.endpoints", int64(d.Retries.MaxEndpoints), 1, maxRetryEndpoints)
	checkAccelerators(file, d)
	checkLinks(file, d)
	checkEndpoints(file, d)
	checkCoverage(file, d)
}

func checkModel(file *strict.File, d *chicoryhall.Document) {
	if d.Kind == chicoryhall.ServicePlain {
		if file.IsValid("model") {
			file.AddError("model", "a plain service has no model; leave it out, or write kind: pipeline")
		}
		return
	}
	if !file.IsValid("model") {
		if file.IsValid("kind") {
			file.AddError("model", "the field is missing; a pipeline service needs its name, version, layers and kvBytes")
		}
		return
	}
	file.CheckName("model.name", d.Model.Name)
	file.CheckName("model.version", d.Model.Version)
	file.CheckRange("model.layers", int64(d.Model.Layers), 1, maxLayers)
	file.CheckRange("model.kvBytes", int64(d.Model.KVBytes), 1, maxKVBytes)
}

func checkClasses(file *strict.File, d *chicoryhall.Document) {
	if file.IsValid("classes") && len(d.Classes) == 0 {
		file.AddError("classes", "the list is empty; write at least one class")
	}
	names := newNameChecker(file)
	for i, class := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		names.check(path+".name", string(class.Name))
		file.CheckRange(path+".priority", int64(class.Priority), 0, maxPriority)
		file.CheckDuration(path+".timeout", class.Timeout, time.Millisecond, maxTimeout)
		file.CheckDuration(path+".firstToken", class.TargetLatency, time.Microsecond, maxTimeout)
		if class.TargetLatency > class.Timeout && file.IsValid(path+".firstToken") && file.IsValid(path+".timeout") {
			file.AddError(path+".firstToken", "%s is later than the timeout of %s; write a shorter time", class.TargetLatency, class.Timeout)
		}
	}
}

func checkOrganisations(file *strict.File, d *chicoryhall.Document) {
	if file.IsValid("organisations") && len(d.Organisations) == 0 {
		file.AddWarning("organisations", "the list is empty; nobody can call the service")
	}
	names := newNameChecker(file)
	credentials := map[string]int{}
	for i, organisation := range d.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		names.check(path+".name", string(organisation.Name))
		file.CheckRange(path+".share", int64(organisation.Share), 1, maxShare)
		if rate := organisation.RequestsPerSecond; file.IsValid(path+".requestsPerSecond") && (rate <= 0 || rate > maxRate) {
			file.AddError(path+".requestsPerSecond", "%g is out of range; write requests a second above 0 and up to %g", rate, maxRate)
		}
		checkCredential(file, path+".credential", organisation.Credential)
		if other, duplicate := credentials[organisation.Credential]; duplicate && file.IsValid(path+".credential") {
			file.AddError(path+".credential", "it is also the credential of organisations[%d]; give each its own", other)
		}
		credentials[organisation.Credential] = i
	}
}

// checkCredential checks a credential without quoting it in the message, as it may be a token written in place of its digest.
func checkCredential(file *strict.File, path, text string) {
	if file.IsValid(path) && !credentialPattern.MatchString(text) {
		file.AddError(path, "this is no digest; write sha256: and the 64 hex digits of the token's SHA-256, never the token")
	}
}

func checkAccelerators(file *strict.File, d *chicoryhall.Document) {
	names := newNameChecker(file)
	for i, accelerator := range d.Accelerators {
		path := fmt.Sprintf("accelerators[%d]", i)
		names.check(path+".kind", string(accelerator.Kind))
		file.CheckDuration(path+".stepTime", accelerator.StepTime, 0, maxStepTime)
		file.CheckDuration(path+".layerTime", accelerator.LayerTokenTime, 0, maxStepTime)
		file.CheckRange(path+".batch", int64(accelerator.MaxBatch), 1, maxBatch)
	}
}

func checkLinks(file *strict.File, d *chicoryhall.Document) {
	seen := map[[2]chicoryhall.FailureDomain]int{}
	for i, link := range d.Links {
		path := fmt.Sprintf("links[%d]", i)
		file.CheckName(path+".from", string(link.From))
		file.CheckName(path+".to", string(link.To))
		file.CheckDuration(path+".delay", link.Delay, 0, maxDelay)
		if file.IsValid(path+".bytesPerSecond") && link.BytesPerSecond < 1 {
			file.AddError(path+".bytesPerSecond", "%d is out of range; write bytes a second above 0", link.BytesPerSecond)
		}
		key := [2]chicoryhall.FailureDomain{link.From, link.To}
		if other, duplicate := seen[key]; duplicate {
			file.AddError(path, "links[%d] has the same ends; write each link once", other)
		}
		seen[key] = i
	}
}

// nameChecker checks that the names in one list are valid and different from each other.
type nameChecker struct {
	file *strict.File
	// seen maps each name to the path of its first occurrence.
	seen map[string]string
}

func newNameChecker(file *strict.File) *nameChecker {
	return &nameChecker{file: file, seen: map[string]string{}}
}

// check checks that the name at path is valid and that no earlier item of the list has the same name.
func (n *nameChecker) check(path, name string) {
	n.file.CheckName(path, name)
	if !n.file.IsValid(path) {
		return
	}
	if other, duplicate := n.seen[name]; duplicate {
		n.file.AddError(path, "%q is also the name at %s; write another", name, other)
		return
	}
	n.seen[name] = path
}
