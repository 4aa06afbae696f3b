package claim

import (
	"net/url"

	"chicoryhall.example/chicoryhall"
)

// keyPrefix begins the keys of claims in the table.
const keyPrefix = "claims/key/"

// value is what a claim's row holds.
type value struct {
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint"`
	// Done tells that Answer is the outcome.
	Done   bool   `json:"done,omitempty"`
	Answer string `json:"answer,omitempty"`
	// Released tells that the owner never sent the request, so another may claim the key.
	Released bool `json:"released,omitempty"`
}

// keyOf returns the row's key of one organisation's idempotency key at a service.
func keyOf(organisation chicoryhall.Organisation, service chicoryhall.ServiceName, key string) string {
	return keyPrefix + url.PathEscape(string(organisation)) + "/" + url.PathEscape(string(service)) + "/" + url.PathEscape(key)
}

// claimOf tells what a row that exists means to the owner of a claim.
func claimOf(v value, owner string) chicoryhall.ClaimResult {
	claim := chicoryhall.ClaimResult{State: chicoryhall.ClaimTaken, Fingerprint: v.Fingerprint}
	switch {
	case v.Done:
		claim.State, claim.Answer = chicoryhall.ClaimDone, v.Answer
	case v.Owner == owner:
		claim.State = chicoryhall.ClaimOurs
	}
	return claim
}
