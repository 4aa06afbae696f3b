package quarantine

import (
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

const (
	// ReservationPrefix is the key prefix of the rows of Reservations.
	ReservationPrefix = "reservations/"
	// endpointPrefix and suspectPrefix begin the keys of the rows for endpoints and for fingerprints.
	endpointPrefix = ReservationPrefix + "endpoint-"
	suspectPrefix  = ReservationPrefix + "suspect-"
	// reservationMargin is how long before the end of reservationLifetime a holder no longer relies on its reservation.
	reservationMargin = 3 * time.Second
	// maxTrials is the number of trials of a suspect. If none of them has outlived the suspect's incidents, it gets no
	// further one, even if endpoints refused it, as it must not go on arriving at endpoints.
	maxTrials = 3
)

//go:generate go tool enumer -type=TrialOutcome -text -transform=kebab -trimprefix=Trial -output=trialoutcome_enumer.go

// TrialOutcome is how a trial ended.
type TrialOutcome int

// The outcomes of a trial.
const (
	// TrialLost means that the attempt was sent and lost before it outlived the suspect's incidents.
	TrialLost TrialOutcome = iota
	// TrialRefused means that an endpoint said that it did not run the attempt.
	TrialRefused
	// TrialPassed means that it outlived them.
	TrialPassed
	// TrialNotStarted means that the attempt reached no endpoint.
	TrialNotStarted
)

// reservationRow is the value of a row, which exists while the endpoint or the fingerprint is reserved for an attempt.
// That of a fingerprint remains after the attempt, without Attempt, to count the trials.
type reservationRow struct {
	Holder  chicoryhall.DaemonID `json:"holder"`
	Attempt string               `json:"attempt,omitempty"`
	Trials  int                  `json:"trials,omitempty"`
}

// Reservation is the right to run one trial of a suspect: no other trial of it runs, and no other suspect on its
// endpoints.
type Reservation struct {
	transaction table.Transaction
	versions    []int64
	trials      int
	madeAt      time.Time
}

// Valid reports whether the reservation still holds at now.
func (r *Reservation) Valid(now time.Time) bool {
	return r != nil && now.Sub(r.madeAt) < reservationLifetime-reservationMargin
}

// TrialsAfter returns how many trials count against the suspect once this one has ended with an outcome.
func (r *Reservation) TrialsAfter(outcome TrialOutcome) int {
	switch outcome {
	case TrialPassed:
		return 0
	case TrialNotStarted:
		return r.trials - 1
	default: // TrialLost and TrialRefused.
		return r.trials
	}
}

// NewRelease returns the transaction that ends the reservation, with a new random nonce. A trial that passed removes the
// count of the suspect's trials; one that was lost or refused stays counted.
func (r *Reservation) NewRelease(nonce string, self chicoryhall.DaemonID, outcome TrialOutcome) table.Transaction {
	trials := r.TrialsAfter(outcome)
	release := table.Transaction{Nonce: nonce}
	for i, made := range r.transaction.Changes {
		change := table.Change{Key: made.Key, IfVersion: r.versions[i], Delete: true}
		if strings.HasPrefix(made.Key, suspectPrefix) && trials > 0 {
			change.Delete, change.Value = false, table.EncodeValue(reservationRow{Holder: self, Trials: trials})
		}
		release.Changes = append(release.Changes, change)
	}
	return release
}

// knownReservation is a row as it was in the last conflict, and since when it has been known in that version.
type knownReservation struct {
	version int64
	value   reservationRow
	since   time.Time
}

// isHeld reports whether an attempt may still rely on the row.
func (k *knownReservation) isHeld(now time.Time) bool {
	return k.value.Attempt != "" && now.Sub(k.since) < reservationLifetime
}

// Reservations makes the reservations of one daemon by conditional writes to a table, which all daemons share. It learns
// the rows of others from conflicts only. Nobody holds a row that has been unchanged for reservationLifetime. It is not
// safe for concurrent use.
type Reservations struct {
	self  chicoryhall.DaemonID
	known map[string]knownReservation
}

// NewReservations returns the Reservations of a daemon.
func NewReservations(self chicoryhall.DaemonID) *Reservations {
	return &Reservations{self: self, known: make(map[string]knownReservation)}
}

// NewTransaction returns the transaction that reserves endpoints for a trial of a suspect, with a new random nonce.
func (r *Reservations) NewTransaction(nonce, attempt string, fingerprint Fingerprint, endpoints []chicoryhall.EndpointID, now time.Time) table.Transaction {
	suspect := suspectPrefix + fingerprint.String()
	version, trials := r.free(suspect, now)
	transaction := table.Transaction{Nonce: nonce, Changes: []table.Change{{
		Key: suspect, IfVersion: version, Value: table.EncodeValue(reservationRow{Holder: r.self, Attempt: attempt, Trials: trials + 1}),
	}}}
	value := table.EncodeValue(reservationRow{Holder: r.self, Attempt: attempt})
	for _, endpoint := range endpoints {
		key := endpointPrefix + string(endpoint)
		version, _ := r.free(key, now)
		transaction.Changes = append(transaction.Changes, table.Change{Key: key, IfVersion: version, Value: value})
	}
	return transaction
}

// free returns the version of a row that may be overwritten, and the trials that it counts. If no such row is known, it
// returns table.Absent, with which a conflict shows the row that exists.
func (r *Reservations) free(key string, now time.Time) (version int64, trials int) {
	known, ok := r.known[key]
	if !ok || known.isHeld(now) || known.value.Trials >= maxTrials {
		return table.Absent, 0
	}
	return known.version, known.value.Trials
}

// Confirm records that a transaction of NewTransaction took effect and returns the reservation.
func (r *Reservations) Confirm(transaction table.Transaction, result table.Result, sent time.Time) (*Reservation, error) {
	suspect := transaction.Changes[0]
	value, err := table.DecodeValue[reservationRow](table.Row{Key: suspect.Key, Value: suspect.Value, Version: result.Versions[0]})
	if err != nil {
		return nil, err
	}
	for _, change := range transaction.Changes {
		delete(r.known, change.Key)
	}
	return &Reservation{transaction: transaction, versions: result.Versions, trials: value.Trials, madeAt: sent}, nil
}

// Conflict records that a transaction did not take effect because of a row, and returns what follows: DecisionFree to
// send a new transaction at once, DecisionWait while the row is reserved, or DecisionRefuse if all trials of the suspect
// have ended. Busy names the endpoint that is reserved, if it is one.
func (r *Reservations) Conflict(row table.Row, now time.Time) (Answer, error) {
	if row.Version == table.Absent {
		delete(r.known, row.Key)
		return Answer{Decision: DecisionFree}, nil
	}
	value, err := table.DecodeValue[reservationRow](row)
	if err != nil {
		return Answer{}, err
	}
	known, seen := r.known[row.Key]
	if !seen || known.version != row.Version {
		known = knownReservation{version: row.Version, value: value, since: now}
		r.known[row.Key] = known
	}
	held := known.isHeld(now)
	endpoint, isEndpoint := strings.CutPrefix(row.Key, endpointPrefix)
	switch {
	case isEndpoint && held:
		return Answer{Decision: DecisionWait, Busy: []chicoryhall.EndpointID{chicoryhall.EndpointID(endpoint)}}, nil
	case isEndpoint:
		return Answer{Decision: DecisionFree}, nil
	case held: // Also by the last trial, as long as that may pass.
		return Answer{Decision: DecisionWait}, nil
	case value.Trials >= maxTrials:
		return Answer{Decision: DecisionRefuse}, nil
	default:
		return Answer{Decision: DecisionFree}, nil
	}
}
