package entry

import "cornelsaddle.example/cornelsaddle/core/quarantine"

// announceVerdict tells the other VMs of a verdict.
func (v *VM) announceVerdict(verdict quarantine.Verdict) {
	if v.hasJoined() {
		v.members.service.AnnounceVerdict(verdict)
	}
}

// dropVerdicts drops the notes of verdicts that ended a while ago.
func (v *VM) dropVerdicts() {
	v.members.service.RetainVerdicts()
}
