package table

// Settlement determines whether a transaction took effect, from the answers to the transaction and to reads of its
// witness (see Settle). It does no I/O.
type Settlement struct {
	transaction Transaction
	answerLost  bool
}

// NewSettlement returns the Settlement of a transaction that meets the conditions of Settle.
func NewSettlement(transaction Transaction) *Settlement {
	return &Settlement{transaction: transaction}
}

// HandleAnswer handles the answer to sending the transaction once. done reports whether it is known if the transaction
// took effect; settled and failure are then its result.
func (s *Settlement) HandleAnswer(result Result, err error) (settled Result, done bool, failure error) {
	row, conflict := AsConflict(err)
	switch {
	case err == nil:
		return result, true, nil
	case conflict && row.Nonce == s.transaction.Nonce:
		return s.committed(row), true, nil
	case conflict:
		return Result{}, true, err
	case !s.answerLost && !IsUnsettled(err): // After a lost answer, an earlier sending may still take effect.
		return Result{}, true, err
	}
	s.answerLost = true
	return Result{}, false, nil
}

// HandleWitness handles the answer to a read of the witness. A row that is absent, or still has the version before the
// transaction, proves nothing, as reads may be stale. The results are like those of HandleAnswer.
func (s *Settlement) HandleWitness(row Row, found bool) (settled Result, done bool, failure error) {
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

// committed returns the result in the answer that was lost. The version of the witness is known from its row; that of
// each other row is its IfVersion plus one.
func (s *Settlement) committed(witness Row) Result {
	result := Result{Committed: true}
	for _, change := range s.transaction.Changes {
		result.Versions = append(result.Versions, change.IfVersion+1)
	}
	result.Versions[0] = witness.Version
	return result
}
