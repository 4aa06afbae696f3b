package relay

import (
	"crypto/subtle"
	"net/http"
	"strconv"

	"chicoryhall.example/chicoryhall"
)

// The headers between daemons. They are removed before a request or an answer is passed on.
const (
	// headerFrom names the daemon that hands over the request, and headerKey holds the key of the receiver, which only
	// daemons of the deployment can read in the store.
	headerFrom = "Relay-From"
	headerKey  = "Relay-Key"
	// headerRules holds the version of the rules that the first daemon has applied.
	headerRules = "Relay-Rules"
	// headerRuns holds how often the receiver may run the request at most.
	headerRuns = "Relay-Runs"
	// headerReply is present in an answer that is the receiver's own; its value is a Reply.
	headerReply = "Relay-Reply"
)

//go:generate go tool enumer -type=Reply -text -transform=kebab -trimprefix=Reply -output=reply_enumer.go

// Reply is what a daemon's own answer to a request that it was handed means.
type Reply int

// The meanings.
const (
	// ReplyNone means that the answer is an endpoint's.
	ReplyNone Reply = iota
	// ReplyLoad means that the request did not run for lack of room. Other daemons have none either, as they share the endpoints.
	ReplyLoad
	// ReplyUnable means that it did not run as this daemon cannot run it: it reaches no endpoints itself, is stopping, or has
	// older rules. Another one may.
	ReplyUnable
	// ReplyUnknown means that the request may have run.
	ReplyUnknown
)

// Ticket is what a daemon adds to a request that it hands over.
type Ticket struct {
	From  chicoryhall.DaemonID
	Rules int64
	// Runs is how often the receiver may run the request at most.
	Runs int
	key  string
}

// NewTicket returns the ticket for a request to a peer.
func NewTicket(from chicoryhall.DaemonID, rules int64, runs int, to Peer) Ticket {
	return Ticket{From: from, Rules: rules, Runs: runs, key: to.Key}
}

// Add sets the ticket's headers.
func (t Ticket) Add(header http.Header) {
	header.Set(headerFrom, string(t.From))
	header.Set(headerKey, t.key)
	header.Set(headerRules, strconv.FormatInt(t.Rules, 10))
	header.Set(headerRuns, strconv.Itoa(t.Runs))
}

// TakeTicket removes the ticket's headers and returns them. Numbers that cannot be read are 0 and 1, which any rules satisfy
// and which allows one run.
func TakeTicket(header http.Header) Ticket {
	ticket := Ticket{From: chicoryhall.DaemonID(header.Get(headerFrom)), Runs: 1, key: header.Get(headerKey)}
	if rules, err := strconv.ParseInt(header.Get(headerRules), 10, 64); err == nil {
		ticket.Rules = rules
	}
	if runs, err := strconv.Atoi(header.Get(headerRuns)); err == nil && runs > 0 {
		ticket.Runs = runs
	}
	for _, name := range []string{headerFrom, headerKey, headerRules, headerRuns} {
		header.Del(name)
	}
	return ticket
}

// Opens reports whether the ticket holds the key of its receiver, which must not be empty.
func (t Ticket) Opens(key string) bool {
	return key != "" && subtle.ConstantTimeCompare([]byte(t.key), []byte(key)) == 1
}

// Mark marks an answer as the receiver's own.
func Mark(header http.Header, reply Reply) { header.Set(headerReply, reply.String()) }

// TakeReply removes the mark from an answer and returns it. A mark that is not known counts as ReplyUnknown.
func TakeReply(header http.Header) Reply {
	text := header.Get(headerReply)
	header.Del(headerReply)
	if text == "" {
		return ReplyNone
	}
	reply, err := ReplyString(text)
	if err != nil || reply == ReplyNone {
		return ReplyUnknown
	}
	return reply
}
