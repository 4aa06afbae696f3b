package table

// Settlement determines whether a transaction took effect, from the answers to the transaction and to reads of its
// witness (see Settle). It does no I/O.
type Settlement struct {
	transaction Transaction
	// hasUnsettledAttempt is set when the effect of sending the transaction was not known, for instance because the answer
	// was lost.
	hasUnsettledAttempt bool
}

// NewSettlement returns the Settlement of a transaction that meets the conditions of Settle.
func NewSettlement(transaction Transaction) *Settlement {
	return &Settlement{transaction: transaction}
}

// HandleAnswer handles the answer to sending the transaction once. done reports whether it is known now if the
// transaction took effect; settled and settledErr are then what Settle returns.
func (s *Settlement) HandleAnswer(result Result, err error) (settled Result, done bool, settledErr error) {
	row, conflict := AsConflict(err)
	switch {
	case err == nil:
		return result, true, nil
	case conflict && row.Nonce == s.transaction.Nonce:
		return s.committed(row), true, nil
	case conflict:
		return Result{}, true, err
	case !s.hasUnsettledAttempt && !IsUnsettled(err):
		// No copy of the transaction can still take effect, unlike after an unsettled attempt.
		return Result{}, true, err
	}
	s.hasUnsettledAttempt = true
	return Result{}, false, nil
}

// HandleWitness handles the answer to a read of the witness. A row that is absent, or still has the version before the
// transaction, proves nothing, as reads may be stale. The results are like those of HandleAnswer.
func (s *Settlement) HandleWitness(row Row, found bool) (settled Result, done bool, settledErr error) {
	witness := s.transaction.Changes[0]
	switch {
	case !found:
		return Result{}, false, nil
	case row.Nonce == s.transaction.Nonce:
		return s.committed(row), true, nil
	case row.Version > witness.IfVersion:
		return Result{}, true, NewConflict("settle transaction", witness.Key, row)
	}
	return Result{}, false, nil
}

// committed returns the result of the transaction, which took effect although its answer was lost. The version of the
// witness is known from its row. That of each other row is computed as its IfVersion plus one, as Row.Version says, and
// is wrong for a Store that counts versions differently.
func (s *Settlement) committed(witness Row) Result {
	result := Result{Committed: true}
	for _, change := range s.transaction.Changes {
		result.Versions = append(result.Versions, change.IfVersion+1)
	}
	result.Versions[0] = witness.Version
	return result
}
