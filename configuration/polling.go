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
func (d *Documents) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	heads, err := d.table.Rows(ctx, headPrefix)
	d.noteTableResult(err)
	if err != nil {
		return
	}
	rows := map[chicoryhall.ServiceName]table.Row{}
	var refs []VersionRef
	for _, row := range heads {
		ref, err := decodeRef(row)
		if err != nil {
			d.config.Log.Log(event.TableRowDamaged, "error", err)
			continue
		}
		refs = append(refs, ref)
		rows[ref.Service] = row
	}
	d.mu.Lock()
	missing := d.state.Missing(refs)
	ahead := d.state.NewerThan(refs)
	d.mu.Unlock()
	for _, ref := range missing {
		d.fetchRow(ctx, ref)
	}
	for _, v := range ahead {
		d.repair(ctx, v, rows[v.Service])
	}
	d.updateReady(len(missing) == 0)
}

func (d *Documents) fetchRow(ctx context.Context, ref VersionRef) {
	row, found, err := d.table.Row(ctx, historyKey(ref.Service, ref.Number))
	if err != nil || !found {
		return
	}
	v, err := decodeVersion(row)
	if err != nil {
		d.config.Log.Log(event.TableRowDamaged, "error", err)
		return
	}
	d.apply(v, "")
}

// repair writes a version that the table has lost. Errors are ignored: the write fails if the head row was a stale read
// and nothing was lost, and the next poll repeats it otherwise.
func (d *Documents) repair(ctx context.Context, v Version, head table.Row) {
	_, err := d.table.Transact(ctx, Repair(v, head, rand.Text()))
	if err == nil {
		d.config.Log.Log(event.TableRepaired, "service", v.Service, "version", v.Number)
	}
}

func (d *Documents) noteTableResult(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tableErr = err
}

// updateReady makes this daemon ready after a poll, if complete is true or it has at least one document. complete means
// that the poll found no newer version than this daemon has, which is so for a table without documents too.
func (d *Documents) updateReady(complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = d.ready || complete || len(d.current) > 0
}
