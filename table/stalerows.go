package table

import "time"

// StaleRows finds rows whose writers are gone: rows that have not changed for a time. It uses the reader's own clock only.
type StaleRows struct {
	lifetime time.Duration
	seen     map[string]seenVersion
}

// seenVersion is the version of a row that has been unchanged since the time.
type seenVersion struct {
	version int64
	since   time.Time
}

// NewStaleRows returns StaleRows for rows that are stale once they have not changed for lifetime.
func NewStaleRows(lifetime time.Duration) *StaleRows {
	return &StaleRows{lifetime: lifetime, seen: make(map[string]seenVersion)}
}

// Observe takes all rows as read at now and returns the removals of those that are stale. A removal has no effect if the
// row has changed since.
func (s *StaleRows) Observe(rows []Row, now time.Time) []Change {
	present := make(map[string]seenVersion, len(rows))
	var removals []Change
	for _, row := range rows {
		seen, known := s.seen[row.Key]
		if !known || seen.version != row.Version {
			seen = seenVersion{version: row.Version, since: now}
		}
		present[row.Key] = seen
		if now.Sub(seen.since) >= s.lifetime {
			removals = append(removals, Change{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	s.seen = present
	return removals
}
