package experiment

// grantable returns the candidates at which a reservation would be granted:
// those that no other job claims and that have enough memory for the job.
func (r *run) grantable(j *job, candidates []int, headroom float64) []int {
	var granted []int
	for _, e := range candidates {
		if c := r.claims[e]; c != nil && c != j && !c.resolved {
			continue
		}
		if r.shortfall(j, e, headroom) <= 0 {
			granted = append(granted, e)
		}
	}
	return granted
}

// shortfall is the memory that the engine lacks for the job, in tokens; it is
// positive if the job does not fit. The granting VM takes the larger of its own
// account of low-priority prompts and the requesting VM's estimate of the held
// memory. A prompt that leaves no headroom even alone needs an engine without
// other low-priority prompts.
func (r *run) shortfall(j *job, e int, headroom float64) int64 {
	need := j.tokenBound() + j.maxTokens
	limit := int64((1 - headroom) * float64(r.cell.engineConfigs[e].MemoryTokens))
	if need > limit {
		return r.lowPriorityHeld[e]
	}
	return max(r.lowPriorityHeld[e], r.vms[j.vm].heldMemory(r.wallTime(), e)) + need - limit
}

// enqueue queues the job until memory is granted.
func (r *run) enqueue(j *job) {
	if len(r.waiting) == 0 {
		r.schedule(r.now+grantRetryInterval, r.dispatchWaiting)
	}
	r.waiting = append(r.waiting, j)
}

// dispatchWaiting retries the waiting jobs in order. A job that has waited
// longer than ClaimAfter claims an engine: no other low-priority prompt is
// placed there before it.
func (r *run) dispatchWaiting() {
	jobs := r.waiting
	r.waiting = nil
	for _, j := range jobs {
		if r.now-j.arrival > r.cell.Placement.ClaimAfter && !j.resolved {
			r.claim(j)
		}
		r.dispatch(j)
	}
}

// claim keeps for the job the unclaimed engine that is predicted to have memory
// for it soonest.
func (r *run) claim(j *job) {
	best, bestWait := -1, 0.0
	for _, e := range r.candidates(j.tokenBound() + j.maxTokens) {
		if r.claims[e] == j {
			return
		}
		if c := r.claims[e]; c != nil && !c.resolved {
			continue
		}
		wait := float64(r.shortfall(j, e, r.vms[j.vm].headroom())) / r.cell.engineConfigs[e].PrefillRate
		if best < 0 || wait < bestWait {
			best, bestWait = e, wait
		}
	}
	if best >= 0 {
		r.claims[best] = j
	}
}

// dispatchGroup reserves a group's memory, all or nothing, and submits the job
// to the group's lead. If the reservation fails, it retries until the job's
// deadline.
func (r *run) dispatchGroup(j *job) {
	need := j.tokenBound() + j.maxTokens
	if r.groupMemory > 0 && float64(r.groupMemory+need) > r.vms[j.vm].groupShareLimit()*float64(r.fleetMemory()) {
		r.schedule(r.now+groupRetryInterval, func() { r.dispatch(j) })
		return
	}
	order := r.vms[j.vm].rankGroup(r.wallTime(), j, r.candidates(0))
	if !r.reserveGroup(j, order, need) {
		r.schedule(r.now+groupRetryInterval, func() { r.dispatch(j) })
		return
	}
	for _, e := range j.members {
		r.vms[j.vm].recordReserved(r.wallTime(), j, e, r.groupMemberTokens(e))
	}
	r.submit(j, decision{engine: order[0], priority: j.class.Priority()}, need)
}

// reserveGroup reserves groupShare of the memory of each engine in the given
// order until need, in tokens, is met. It reports whether that succeeded, with
// the first engine among the members; otherwise nothing stays reserved.
func (r *run) reserveGroup(j *job, order []int, need int64) bool {
	j.members = nil
	left := need
	for _, e := range order {
		if left <= 0 {
			break
		}
		if !r.nodes[e].model.Reserve(r.groupMemberTokens(e)) {
			continue
		}
		j.members = append(j.members, e)
		r.groupMemory += r.groupMemberTokens(e)
		left -= r.groupMemberTokens(e)
	}
	if left <= 0 && j.members[0] == order[0] {
		return true
	}
	r.releaseGroup(j)
	return false
}

// fleetMemory is the total memory of the engines that are up, in tokens.
func (r *run) fleetMemory() int64 {
	sum := int64(0)
	for _, n := range r.nodes {
		if !n.dead {
			sum += r.cell.engineConfigs[n.index].MemoryTokens
		}
	}
	return sum
}

// groupMemberTokens is the memory that a group reserves at the engine, in
// tokens.
func (r *run) groupMemberTokens(e int) int64 {
	return int64(groupShare * float64(r.cell.engineConfigs[e].MemoryTokens))
}

// lowPriorityNeed is the memory that the job takes at its engine, in tokens;
// zero for a group, whose memory is accounted for separately.
func (j *job) lowPriorityNeed() int64 {
	if j.seq.Reserved > 0 {
		return 0
	}
	return j.tokenBound() + j.maxTokens
}

// releaseGroup releases the memory of the job's group.
func (r *run) releaseGroup(j *job) {
	for _, e := range j.members {
		r.nodes[e].model.Release(r.groupMemberTokens(e))
		r.groupMemory -= r.groupMemberTokens(e)
		r.scheduleStep(r.nodes[e])
	}
	j.members = nil
}
