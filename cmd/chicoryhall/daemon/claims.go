package daemon

import (
	"time"

	"chicoryhall.example/chicoryhall/claim"
	"chicoryhall.example/chicoryhall/table"
)

// claimTableTimeout bounds one call to the table for claims, which callers wait for.
const claimTableTimeout = 400 * time.Millisecond

// buildClaims adds the claims of requests that may run at most once.
func (b *builder) buildClaims() error {
	claims := claim.New(table.NewWithTimeout(b.settings.Platform.Table, claimTableTimeout), b.timer, b.node, b.members)
	claims.Attach(b.node)
	b.claims = claims
	b.decisions.Add(claims)
	return nil
}
