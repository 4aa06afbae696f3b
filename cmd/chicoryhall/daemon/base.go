package daemon

import (
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/timer"
)

func (b *builder) buildTimer() error {
	b.timer = timer.New()
	b.base.Add(b.timer)
	return nil
}

func (b *builder) buildEngines() error {
	client, err := engine.NewClient(b.timer)
	if err != nil {
		return err
	}
	b.engines = client
	b.base.Add(client)
	return nil
}
