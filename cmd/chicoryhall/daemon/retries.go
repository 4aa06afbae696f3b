package daemon

import "chicoryhall.example/chicoryhall/requests"

func (b *builder) buildRetries() error {
	b.retries = requests.Unlimited{}
	return nil
}

func (b *builder) buildQuarantine() error {
	b.quarantine = requests.Trusting{}
	return nil
}
