package requests

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Unlimited is a Retries without a budget.
type Unlimited struct{}

// Succeeded counts nothing.
func (Unlimited) Succeeded(chicoryhall.ServiceName) {}

// Take always allows.
func (Unlimited) Take(chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration) {
	return true, 0
}

// Trusting is a Quarantine that refuses no request.
type Trusting struct{}

// Begin allows the request.
func (Trusting) Begin(chicoryhall.RequestID, uint64, []chicoryhall.EngineID) bool { return true }

// End does nothing.
func (Trusting) End(chicoryhall.RequestID) {}

// Crashed does nothing.
func (Trusting) Crashed(chicoryhall.RequestID, uint64, chicoryhall.EngineID) {}
