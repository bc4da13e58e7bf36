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

// HeaderApplied on an answer of the table service says, with the value
// AppliedNo, that the transaction was not applied and never will be. The table
// service sets it where it refuses a request before reading it.
const (
	HeaderApplied = "X-Applied"
	AppliedNo     = "no"
)

// AbsentVersion is the version that a condition names for a row that must not
// exist.
const AbsentVersion = 0

// Condition holds when the row's version is Version.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes Value to the row Key.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is one transaction over several rows: it applies whole, or not at all.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxnResult answers a Txn. Version is the version of every row that it wrote.
// Failed lists the rows whose condition did not hold, as they are now.
type TxnResult struct {
	Applied bool  `json:"applied"`
	Version int64 `json:"version,omitempty"`
	Failed  []Row `json:"failed,omitempty"`
}

// Row is one row of the table. A Version of AbsentVersion means no such row.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Scan asks for rows whose key starts with Prefix and is greater than After,
// in the order of keys.
type Scan struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResult answers a Scan. More says that the limit cut the answer.
type ScanResult struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}
