package table

// AnyVersion as the IfVersion of a Change means that the change has no condition.
const AnyVersion = -1

// Absent is the version of a row that does not exist. As the IfVersion of a Change it means that the row must not exist.
const Absent = 0

// Change writes one row if it has the expected version.
type Change struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// IfVersion is the version that the row must have, or Absent or AnyVersion.
	IfVersion int64 `json:"ifVersion"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Transaction makes all of its changes or none.
type Transaction struct {
	// Nonce is stored in each row that the transaction writes.
	Nonce   string   `json:"nonce"`
	Changes []Change `json:"changes"`
}

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Version is 1 for a new row and grows by one with each change.
	Version int64 `json:"version"`
	// Nonce is that of the transaction that last changed the row.
	Nonce string `json:"nonce"`
}

// Rows is the answer to a read of several rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Result is the answer to a Transaction.
type Result struct {
	Committed bool `json:"committed"`
	// Versions holds the new versions of the rows, in the order of the changes. The entry of a change with Delete is not
	// the version of any row.
	Versions []int64 `json:"versions,omitempty"`
	// Conflict is the first row that did not meet its condition, or nil.
	Conflict *Row `json:"conflict,omitempty"`
}
