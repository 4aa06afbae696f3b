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

// HandleAnswer handles the answer to sending the transaction once; done reports whether the transaction is settled.
func (s *Settlement) HandleAnswer(result Result, err error) (settled Result, done bool, failure error) {
	row, conflict := AsConflict(err)
	switch {
	case err == nil:
		return result, true, nil
	case conflict && row.Nonce == s.transaction.Nonce:
		return s.committed(row), true, nil
	case conflict:
		return Result{}, true, err
	case !s.answerLost && !IsUnsettled(err):
		return Result{}, true, err
	}
	s.answerLost = true
	return Result{}, false, nil
}

// HandleWitness handles the answer to a read of the witness. An absent or old row proves nothing, as reads may be stale.
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

// committed returns the result that the lost answer held. The witness was read with its version; each other row has
// the version after the one that its change was conditional on.
func (s *Settlement) committed(witness Row) Result {
	result := Result{Committed: true}
	for _, change := range s.transaction.Changes {
		result.Versions = append(result.Versions, change.IfVersion+1)
	}
	result.Versions[0] = witness.Version
	return result
}
