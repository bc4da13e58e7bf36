package wire

// Paths of the platform's HTTP interface.
const (
	PathTxn     = "/v1/table/txn"
	PathRows    = "/v1/table/rows/"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
	PathWeights = "/v1/weights/"
	PathFaults  = "/v1/faults"
)

// HeaderApplied with the value AppliedNo, in a response of the table service,
// states that the transaction was not applied and never will be. The table
// service sets it when it rejects a request before reading it.
const (
	HeaderApplied = "X-Applied"
	AppliedNo     = "no"
)

// AbsentVersion is the version of a row that does not exist. A Condition with
// this version requires that the row does not exist.
const AbsentVersion = 0

// Condition holds if the current version of the row Key is Version.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes Value to the row Key.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is an atomic transaction over several rows.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxnResult is the response to a Txn. Version is the new version of every row
// written. Failed lists the current state of the rows whose condition did not hold.
type TxnResult struct {
	Applied bool  `json:"applied"`
	Version int64 `json:"version,omitempty"`
	Failed  []Row `json:"failed,omitempty"`
}

// Row is one row of the table. If Version is AbsentVersion, the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Scan requests up to Limit rows whose key starts with Prefix and is greater than
// After, in the order of their keys.
type Scan struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResult is the response to a Scan. More reports that further rows exist
// beyond the limit.
type ScanResult struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}
