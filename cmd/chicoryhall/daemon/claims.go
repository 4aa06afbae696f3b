package daemon

import (
	"time"

	"chicoryhall.example/chicoryhall/claim"
	"chicoryhall.example/chicoryhall/table"
)

// claimTableTimeout bounds one call to the platform's table for claims. It is short, as callers wait for the claim.
const claimTableTimeout = 400 * time.Millisecond

// buildClaims adds the claims that make requests run at most once.
func (b *builder) buildClaims() error {
	claims := claim.New(table.NewWithTimeout(b.settings.Platform.Table, claimTableTimeout), b.timer, b.node, b.members)
	claims.Attach(b.node)
	b.claims = claims
	b.decisions.Add(claims)
	return nil
}
