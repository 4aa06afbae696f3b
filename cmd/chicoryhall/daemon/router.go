package daemon

import (
	"hash/fnv"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/pipeline"
)

// buildRouter adds the component that chooses pipelines. Its random seed is derived from the daemon's ID, so that daemons choose differently.
func (b *builder) buildRouter() error {
	seed := fnv.New64a()
	if _, err := seed.Write([]byte(b.settings.ID)); err != nil {
		return err
	}
	options := pipeline.Options{Seed: seed.Sum64()}
	if b.settings.RoutingPolicy != "" {
		policy, err := pipeline.PolicyString(b.settings.RoutingPolicy)
		if err != nil {
			return errors.WithMessage(err, "read the setting router")
		}
		options.Policy = policy
	}
	b.router = pipeline.New(b.endpoints, options)
	return nil
}
