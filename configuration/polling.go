package configuration

import (
	"context"
	"crypto/rand"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/table"
)

// poll reads the head rows of the table, fetches newer versions, and writes back the versions that the table lost
// because it was restored from a backup.
func (s *Service) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	heads, err := s.table.Rows(ctx, headPrefix)
	s.noteTableResult(err)
	if err != nil {
		return
	}
	rows := map[chicoryhall.ServiceName]table.Row{}
	var marks []Mark
	for _, row := range heads {
		mark, err := decodeMark(row)
		if err != nil {
			s.config.Log.Log(event.TableRowDamaged, "error", err)
			continue
		}
		marks = append(marks, mark)
		rows[mark.Service] = row
	}
	s.mu.Lock()
	missing := s.state.Missing(marks)
	ahead := s.state.Ahead(marks)
	s.mu.Unlock()
	for _, mark := range missing {
		s.fetchRow(ctx, mark)
	}
	for _, v := range ahead {
		s.repair(ctx, v, rows[v.Service])
	}
	s.updateReady(len(missing) == 0)
}

func (s *Service) fetchRow(ctx context.Context, mark Mark) {
	row, found, err := s.table.Row(ctx, historyKey(mark.Service, mark.Number))
	if err != nil || !found {
		return
	}
	v, err := decodeVersion(row)
	if err != nil {
		s.config.Log.Log(event.TableRowDamaged, "error", err)
		return
	}
	s.apply(v, "")
}

// repair writes a version that the table has lost. If the head was a stale read, the write fails, which is harmless.
func (s *Service) repair(ctx context.Context, v Version, head table.Row) {
	_, err := s.table.Transact(ctx, Repair(v, head, rand.Text()))
	if err == nil {
		s.config.Log.Log(event.TableRepaired, "service", v.Service, "version", v.Number)
	}
}

func (s *Service) noteTableResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableErr = err
}

// updateReady makes the Service ready after a poll that found nothing missing, or once it has any documents.
func (s *Service) updateReady(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = s.ready || complete || len(s.current) > 0
}
