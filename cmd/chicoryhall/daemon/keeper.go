package daemon

import (
	"context"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// soleKeeper is a chicoryhall.Keeper of a daemon without peers: it holds nothing elsewhere.
type soleKeeper struct{}

func (b *builder) buildKeeper() error {
	b.keeper = soleKeeper{}
	return nil
}

// Accept succeeds at once.
func (soleKeeper) Accept(context.Context, chicoryhall.RequestRecord) error { return nil }

// Attempt succeeds at once.
func (soleKeeper) Attempt(context.Context, chicoryhall.RequestID, int) error { return nil }

// Tokens releases the tokens at once.
func (soleKeeper) Tokens(_ chicoryhall.RequestID, _ int, _ []digest.Token, release func(error)) {
	release(nil)
}

// Finish does nothing.
func (soleKeeper) Finish(chicoryhall.RequestID, chicoryhall.Outcome) {}
