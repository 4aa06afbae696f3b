package requests

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

// UnlimitedRetries is a Retries without a budget.
type UnlimitedRetries struct{}

// Succeeded counts nothing.
func (UnlimitedRetries) Succeeded(chicoryhall.ServiceName) {}

// Take always allows.
func (UnlimitedRetries) Take(chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration) {
	return true, 0
}

// UnlimitedRates is a Limits that lets every request pass.
type UnlimitedRates struct{}

// Allow lets the request pass.
func (UnlimitedRates) Allow(chicoryhall.ServiceName, chicoryhall.Organisation, time.Time) (bool, time.Duration) {
	return true, 0
}

// NoQuarantine is a Quarantine that refuses no request.
type NoQuarantine struct{}

// Avoid names no engine.
func (NoQuarantine) Avoid() []chicoryhall.EndpointID { return nil }

// Begin allows the request.
func (NoQuarantine) Begin(_ chicoryhall.RequestID, _ quarantine.Fingerprint, _ []chicoryhall.Hop, decided func(quarantine.Answer)) {
	decided(quarantine.Answer{Decision: quarantine.DecisionFree})
}

// Crashed does nothing.
func (NoQuarantine) Crashed(quarantine.Fingerprint, chicoryhall.Hop) {}

// Passed does nothing.
func (NoQuarantine) Passed(chicoryhall.RequestID, quarantine.Fingerprint) {}

// End does nothing.
func (NoQuarantine) End(chicoryhall.RequestID, quarantine.Fingerprint) {}
