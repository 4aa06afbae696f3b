package claim

import (
	"net/url"

	"chicoryhall.example/chicoryhall"
)

// keyPrefix is the prefix of the row keys of claims.
const keyPrefix = "claims/key/"

// rowValue is the value of a claim's row.
type rowValue struct {
	// Owner identifies the call that inserted the row.
	Owner string `json:"owner"`
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint"`
	// Done is set once the outcome is recorded; Answer then holds the stored answer of the request.
	Done   bool   `json:"done,omitempty"`
	Answer string `json:"answer,omitempty"`
	// Released is set when the owner gave up the claim without the request having run, so another call may claim the key.
	Released bool `json:"released,omitempty"`
}

// rowKey returns the key of the row for an organisation's idempotency key at a service.
func rowKey(organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key string) string {
	return keyPrefix + url.PathEscape(string(organisation)) + "/" + url.PathEscape(string(service)) + "/" + url.PathEscape(key)
}

// claimResult returns what an existing row means to a call with the given owner: it holds the claim (ClaimOurs), another
// call does (ClaimTaken), or the outcome is known (ClaimDone). A row that the call has released gives ClaimOurs too:
// callers of a release look only at the error.
func claimResult(v rowValue, owner string) chicoryhall.ClaimResult {
	claim := chicoryhall.ClaimResult{State: chicoryhall.ClaimTaken, Fingerprint: v.Fingerprint}
	switch {
	case v.Done:
		claim.State, claim.Answer = chicoryhall.ClaimDone, v.Answer
	case v.Owner == owner:
		claim.State = chicoryhall.ClaimOurs
	}
	return claim
}
