package platform

import (
	"sort"
	"strings"
	"sync"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Table is a transactional table in memory. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	version int64
	rows    map[string]wire.Row
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]wire.Row)}
}

// Apply applies the transaction atomically. If any condition fails, it changes
// nothing and returns the rows whose versions differ.
func (t *Table) Apply(txn wire.Txn) wire.TxnResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []wire.Row
	for _, c := range txn.Conditions {
		row := t.row(c.Key)
		if row.Version != c.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return wire.TxnResult{Failed: failed}
	}
	t.version++
	for _, p := range txn.Puts {
		t.rows[p.Key] = wire.Row{Key: p.Key, Version: t.version, Value: p.Value}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	return wire.TxnResult{Applied: true, Version: t.version}
}

// Get returns the row, or one with AbsentVersion if there is none.
func (t *Table) Get(key string) wire.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key)
}

func (t *Table) row(key string) wire.Row {
	row, ok := t.rows[key]
	if !ok {
		return wire.Row{Key: key, Version: wire.AbsentVersion}
	}
	return row
}

// Scan returns the rows with the prefix and a key after scan.After, sorted by
// key, up to scan.Limit if it is positive.
func (t *Table) Scan(scan wire.Scan) wire.ScanResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]string, 0)
	for k := range t.rows {
		if strings.HasPrefix(k, scan.Prefix) && k > scan.After {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	result := wire.ScanResult{Rows: []wire.Row{}}
	for _, k := range keys {
		if scan.Limit > 0 && len(result.Rows) == scan.Limit {
			result.More = true
			break
		}
		result.Rows = append(result.Rows, t.rows[k])
	}
	return result
}
