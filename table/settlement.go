package table

// Settlement decides, from the answers to one transaction and to reads of its
// witness, whether the transaction took effect. It does no I/O.
type Settlement struct {
	transaction Transaction
	lost        bool
}

// NewSettlement returns the Settlement of a transaction that Settle's comment allows.
func NewSettlement(transaction Transaction) *Settlement {
	return &Settlement{transaction: transaction}
}

// Wrote takes the answer to one sending of the transaction; done tells that it is settled.
func (s *Settlement) Wrote(result Result, err error) (settled Result, done bool, failure error) {
	row, conflict := IsConflict(err)
	switch {
	case err == nil:
		return result, true, nil
	case conflict && row.Nonce == s.transaction.Nonce:
		return s.committed(row), true, nil
	case conflict:
		return Result{}, true, err
	case !s.lost && !IsUnsettled(err):
		return Result{}, true, err
	}
	s.lost = true
	return Result{}, false, nil
}

// Read takes a read of the witness; one that is absent or old shows nothing, as reads may be stale.
func (s *Settlement) Read(row Row, found bool) (settled Result, done bool, failure error) {
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

// committed returns the result that the lost answer held: the witness tells its own version, and
// those of the other rows grew by one.
func (s *Settlement) committed(witness Row) Result {
	result := Result{Committed: true}
	for _, change := range s.transaction.Changes {
		result.Versions = append(result.Versions, change.IfVersion+1)
	}
	result.Versions[0] = witness.Version
	return result
}
