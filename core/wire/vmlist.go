package wire

// VMState is the platform's view of a VM.
type VMState string

// The states in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list, which lags.
type VM struct {
	ID            string  `json:"id"`
	Peer          string  `json:"peer"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}
