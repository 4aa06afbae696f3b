package watch

import (
	"cmp"
	"math/bits"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// sightingsPerMessage bounds the sightings of one message to a peer.
	sightingsPerMessage = 12
	// spreadFactor times log2 of the daemons is how often each sighting is sent.
	spreadFactor = 2
)

// spread holds the endpoints whose news still have to be told to peers.
type spread struct {
	news map[chicoryhall.EndpointID]*newsItem
}

// newsItem counts how often an endpoint's news was told; changes of state go first.
type newsItem struct {
	sent   int
	urgent bool
}

func newSpread() *spread {
	return &spread{news: map[chicoryhall.EndpointID]*newsItem{}}
}

// put marks an endpoint's entry as news.
func (s *spread) put(id chicoryhall.EndpointID, urgent bool) {
	known := s.news[id]
	if known != nil && known.urgent && !urgent {
		return
	}
	s.news[id] = &newsItem{urgent: urgent}
}

// hasUrgent tells whether a change of state waits to be told.
func (s *spread) hasUrgent() bool {
	for _, item := range s.news {
		if item.urgent {
			return true
		}
	}
	return false
}

// take returns the endpoints to tell next and counts them as told once more.
func (s *spread) take(daemons int) []chicoryhall.EndpointID {
	ids := make([]chicoryhall.EndpointID, 0, len(s.news))
	for id := range s.news {
		ids = append(ids, id)
	}
	rank := func(id chicoryhall.EndpointID) int {
		if s.news[id].urgent {
			return 0
		}
		return 1
	}
	slices.SortFunc(ids, func(a, b chicoryhall.EndpointID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(s.news[a].sent, s.news[b].sent), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), sightingsPerMessage)]
	limit := spreadFactor * bits.Len(uint(daemons))
	for _, id := range ids {
		s.news[id].sent++
		if s.news[id].sent >= limit {
			delete(s.news, id)
		}
	}
	return ids
}
