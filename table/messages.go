package table

// AnyVersion as a condition accepts every state of the row.
const AnyVersion = -1

// Absent as a condition demands that the row does not exist.
const Absent = 0

// Change writes one row if its version is still the expected one.
type Change struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// IfVersion is the version that the row must have, Absent or AnyVersion.
	IfVersion int64 `json:"ifVersion"`
	// Delete removes the row instead.
	Delete bool `json:"delete,omitempty"`
}

// Transaction makes all of its changes or none.
type Transaction struct {
	Nonce   string   `json:"nonce"`
	Changes []Change `json:"changes"`
}

// Row is one row as stored.
type Row struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version int64  `json:"version"`
	Nonce   string `json:"nonce"`
}

// Rows answers a read of several rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Result answers a Transaction; Conflict is the first row whose condition failed.
type Result struct {
	Committed bool `json:"committed"`
	// Versions are the new versions, in the order of the changes.
	Versions []int64 `json:"versions,omitempty"`
	Conflict *Row    `json:"conflict,omitempty"`
}
