package passthrough

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall/quarantine"
)

// fingerprintOf returns the fingerprint of a request: the same one for each request of an organisation with the same
// method, host, path, query and body.
func (x *callerExchange) fingerprintOf() quarantine.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{x.head.Method, x.head.Host, x.head.RequestURI, string(x.organisation)} {
		_, _ = hash.WriteString(strconv.Quote(part)) // Writing to a hash never fails.
	}
	_, _ = hash.Write(x.body)
	return quarantine.Fingerprint(hash.Sum64())
}

// reportLoss reports that the attempt was sent and ended without a complete answer.
func (a *attempt) reportLoss() {
	x := a.exchange
	addresses := make([]string, 0, len(a.route.Hops))
	for _, hop := range a.route.Hops {
		addresses = append(addresses, hop.Address)
	}
	x.config().Quarantine.Lost(quarantine.Loss{
		Fingerprint: x.fingerprint, Attempt: string(x.callerHeaders.ID) + "/" + strconv.Itoa(a.number), Endpoints: a.incarnations,
		Addresses: addresses, Position: x.position(), StartedAt: a.startedAt, LostAt: x.config().Timer.Now(),
	})
}

// position returns the ID of the last event that the caller has received, or 0.
func (x *callerExchange) position() int64 {
	if x.events == nil {
		return 0
	}
	return x.events.Position()
}
