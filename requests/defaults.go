package requests

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

// Unlimited is a Retries without a budget.
type Unlimited struct{}

// Succeeded counts nothing.
func (Unlimited) Succeeded(chicoryhall.ServiceName) {}

// Take always allows.
func (Unlimited) Take(chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration) {
	return true, 0
}

// Unbounded is a Limits that lets every request pass.
type Unbounded struct{}

// Allow lets the request pass.
func (Unbounded) Allow(chicoryhall.ServiceName, chicoryhall.Organisation, time.Time) (bool, time.Duration) {
	return true, 0
}

// Trusting is a Quarantine that refuses no request.
type Trusting struct{}

// Avoid names no engine.
func (Trusting) Avoid() []chicoryhall.EndpointID { return nil }

// Begin allows the request.
func (Trusting) Begin(_ chicoryhall.RequestID, _ quarantine.Fingerprint, _ []chicoryhall.Hop, decided func(quarantine.Answer)) {
	decided(quarantine.Answer{Decision: quarantine.DecisionFree})
}

// Crashed does nothing.
func (Trusting) Crashed(quarantine.Fingerprint, chicoryhall.Hop) {}

// Passed does nothing.
func (Trusting) Passed(chicoryhall.RequestID, quarantine.Fingerprint) {}

// End does nothing.
func (Trusting) End(chicoryhall.RequestID, quarantine.Fingerprint) {}
