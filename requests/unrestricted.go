package requests

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

// UnlimitedRetries implements RetryBudgets for a Config without retry budgets. UnlimitedRates and
// NoQuarantine do the same for rate limits and quarantine. This module itself uses none of the three
// at present.
type UnlimitedRetries struct{}

// CountSuccess does nothing.
func (UnlimitedRetries) CountSuccess(chicoryhall.ServiceName) {}

// Take always allows the retry.
func (UnlimitedRetries) Take(chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration) {
	return true, 0
}

// UnlimitedRates implements RateLimits for a Config without rate limits.
type UnlimitedRates struct{}

// Allow always allows the request.
func (UnlimitedRates) Allow(chicoryhall.ServiceName, chicoryhall.Organisation, time.Time) (bool, time.Duration) {
	return true, 0
}

// NoQuarantine implements Quarantine for a Config without quarantine.
type NoQuarantine struct{}

// ReservedEngines returns no engines.
func (NoQuarantine) ReservedEngines() []chicoryhall.EndpointID { return nil }

// Begin allows the request to run.
func (NoQuarantine) Begin(_ chicoryhall.RequestID, _ quarantine.Fingerprint, _ []chicoryhall.Hop, decided func(quarantine.Answer)) {
	decided(quarantine.Answer{Decision: quarantine.DecisionFree})
}

// Crashed does nothing.
func (NoQuarantine) Crashed(quarantine.Fingerprint, chicoryhall.Hop) {}

// Passed does nothing.
func (NoQuarantine) Passed(chicoryhall.RequestID, quarantine.Fingerprint) {}

// End does nothing.
func (NoQuarantine) End(chicoryhall.RequestID, quarantine.Fingerprint) {}
