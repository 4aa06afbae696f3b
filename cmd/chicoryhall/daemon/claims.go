package daemon

import "chicoryhall.example/chicoryhall/claim"

// buildClaims adds the claims of requests that may run at most once.
func (b *builder) buildClaims() error {
	claims := claim.New(b.table, b.timer, b.node, b.members)
	claims.Attach(b.node)
	b.claims = claims
	b.decisions.Add(claims)
	return nil
}
