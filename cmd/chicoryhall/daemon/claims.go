package daemon

import (
	"context"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// errNoTable is the answer while no platform table is connected.
var errNoTable = errors.New("the platform's table is not connected")

// noClaims is a chicoryhall.Claims that claims nothing, so no request that needs a claim is sent.
type noClaims struct{}

func (b *builder) buildClaims() error {
	b.claims = noClaims{}
	return nil
}

// Claim fails.
func (noClaims) Claim(context.Context, chicoryhall.Organisation, chicoryhall.ServiceName, string, string) (chicoryhall.Claim, error) {
	return chicoryhall.Claim{}, errNoTable
}

// Record fails.
func (noClaims) Record(context.Context, chicoryhall.Organisation, chicoryhall.ServiceName, string, string) error {
	return errNoTable
}
