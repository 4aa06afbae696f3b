package capacity

import (
	"fmt"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/holder"
)

// The names of the measurements for the backup of a request, the daemon that holds a replica of it (see package
// holder). Files of measurements call it the second holder.
const (
	backupTokenBytes  = "second holder token messages"
	backupRecordBytes = "second holder record messages"
	backupMemory      = "second holder memory"
	backupTime        = "second holder time"
)

// promptTokens is the prompt length of the measured requests in tokens, of eight bytes each.
const promptTokens = 100

// answerTokens is the answer length of the measured requests in tokens.
const answerTokens = 280

func backupExperiments() []Experiment {
	return []Experiment{
		{name: backupTokenBytes, unit: "bytes", driver: "tokens in a batch, one for each stream", sizes: []int{1, 8, 32}, measure: measureTokenBytes},
		{name: backupRecordBytes, unit: "bytes", driver: "prompt tokens", sizes: []int{10, 100, 400}, measure: measureRecordBytes},
		{name: backupMemory, unit: "bytes", driver: "requests held", sizes: []int{50, 220, 1000}, measure: measureBackupMemory},
		{name: backupTime, unit: "µs", driver: "tokens in a batch, one for each stream", sizes: []int{1, 8, 32}, measure: measureBackupTime},
	}
}

// recordOf returns the record of a request with the given number of prompt tokens.
func recordOf(number, prompt int) chicoryhall.RequestRecord {
	return chicoryhall.RequestRecord{
		ID:      chicoryhall.RequestID(fmt.Sprintf("domain0-entry000.%024d", number)),
		Service: "service", Organisation: "organisation000", Class: "class",
		IdempotencyKey: fmt.Sprintf("key-%020d", number), Prompt: strings.Repeat("eight by", prompt), MaxTokens: answerTokens,
		Deadline: time.Unix(1_796_330_000, 0),
	}
}

// tokenUpdates returns the updates of a batch with one token for each of count requests.
func tokenUpdates(count int) []holder.Update {
	updates := make([]holder.Update, count)
	for i := range updates {
		updates[i] = holder.Update{
			Handle: holder.Handle(i + 1), Term: 1, Generation: 1, Attempt: 1, Position: 100 + i, Tokens: []digest.Token{digest.Token(1 << 30)},
		}
	}
	return updates
}

// measureTokenBytes returns the size of one batch of tokens and its response, as transferred by JSON-RPC. The response
// contains one byte for each token.
func measureTokenBytes(tokens int) (float64, error) {
	packed, err := holder.EncodeUpdates(tokenUpdates(tokens))
	return 2*frameBytes + base64Growth*float64(len(packed)) + float64(tokens), err
}

// measureRecordBytes returns the size of the message with one request's record and its response.
func measureRecordBytes(prompt int) (float64, error) {
	record := recordOf(1, prompt)
	packed, err := holder.EncodeUpdates([]holder.Update{{Handle: 1, Term: 1, Generation: 1, Record: &record}})
	return 2*frameBytes + base64Growth*float64(len(packed)), err
}

// newHolderState returns the state of a daemon in a deployment of the design size. The daemon has accepted the given
// number of requests, of which no token has been generated yet.
func newHolderState(requests int) *holder.State {
	members := membersOf(daemonsPerDomain * designDomains)
	state := holder.New(members.self)
	now := time.Unix(0, 0)
	for _, member := range members.others {
		state.MemberChanged(member, now)
	}
	for i := range requests {
		state.Accept(recordOf(i, promptTokens), now)
	}
	return state
}

// measureBackupMemory returns the memory of the given number of requests in the state of their owner. The page uses it for
// the requests of which a daemon is the backup too. Tokens are not included.
func measureBackupMemory(requests int) (float64, error) {
	empty := heapBytes(func() any { return newHolderState(0) })
	return heapBytes(func() any { return newHolderState(requests) }) - empty, nil
}

// measureBackupTime returns the time for encoding and decoding one batch of tokens.
func measureBackupTime(tokens int) (float64, error) {
	updates := tokenUpdates(tokens)
	var err error
	cost := microseconds(func() {
		var packed []byte
		packed, err = holder.EncodeUpdates(updates)
		if err == nil {
			_, err = holder.DecodeUpdates(packed)
		}
	})
	return cost, err
}
