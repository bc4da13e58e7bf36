package wire

// VMState is the state of a VM as the platform lists it.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs, which may be outdated.
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
