package daemon

import (
	"hash/fnv"

	"chicoryhall.example/chicoryhall/pipeline"
)

// buildRouter adds the choice of pipelines; each daemon draws its samples from a seed of its own.
func (b *builder) buildRouter() error {
	seed := fnv.New64a()
	if _, err := seed.Write([]byte(b.settings.ID)); err != nil {
		return err
	}
	b.router = pipeline.New(b.endpoints, pipeline.Options{Seed: seed.Sum64()})
	return nil
}
