package experiment

// grantable keeps the engines at which a reservation would be granted: the
// granting VM adds its account of prompts of low priority to what the asking VM
// knows of the memory.
func (r *run) grantable(j *job, open []int, headroom float64) []int {
	var granted []int
	for _, e := range open {
		if c := r.claims[e]; c != nil && c != j && !c.resolved {
			continue
		}
		if r.missing(j, e, headroom) <= 0 {
			granted = append(granted, e)
		}
	}
	return granted
}

// missing is the memory that the engine lacks for the job, in tokens. A prompt
// that leaves no headroom even alone needs an engine without others of low
// priority.
func (r *run) missing(j *job, e int, headroom float64) int64 {
	need := j.bound() + j.maxTokens
	limit := int64((1 - headroom) * float64(r.cell.shapes[e].MemoryTokens))
	if need > limit {
		return r.lowHeld[e]
	}
	return max(r.lowHeld[e], r.vms[j.vm].held(r.wall(), e)) + need - limit
}

// wait queues the job until memory is granted.
func (r *run) wait(j *job) {
	if len(r.waiting) == 0 {
		r.at(r.now+grantRetry, r.grant)
	}
	r.waiting = append(r.waiting, j)
}

// grant tries the waiting jobs in order. One that has waited for long claims an
// engine: no other prompt of low priority goes there before it.
func (r *run) grant() {
	jobs := r.waiting
	r.waiting = nil
	for _, j := range jobs {
		if r.now-j.arrive > r.cell.Placement.ClaimAfter && !j.resolved {
			r.claim(j)
		}
		r.dispatch(j)
	}
}

// claim keeps the engine that will have memory for the job soonest.
func (r *run) claim(j *job) {
	best, bestWait := -1, 0.0
	for _, e := range r.open(j.bound() + j.maxTokens) {
		if r.claims[e] == j {
			return
		}
		if c := r.claims[e]; c != nil && !c.resolved {
			continue
		}
		wait := float64(r.missing(j, e, r.vms[j.vm].headroom())) / r.cell.shapes[e].PrefillRate
		if best < 0 || wait < bestWait {
			best, bestWait = e, wait
		}
	}
	if best >= 0 {
		r.claims[best] = j
	}
}

// dispatchGroup reserves a group's memory, all or none, and submits the job to
// its lead; it tries again until the job's deadline.
func (r *run) dispatchGroup(j *job) {
	need := j.bound() + j.maxTokens
	if r.grouped > 0 && float64(r.grouped+need) > r.vms[j.vm].groupCap()*float64(r.memory()) {
		r.at(r.now+groupRetry, func() { r.dispatch(j) })
		return
	}
	order := r.vms[j.vm].group(r.wall(), j, r.open(0))
	if !r.reserve(j, order, need) {
		r.at(r.now+groupRetry, func() { r.dispatch(j) })
		return
	}
	for _, e := range j.members {
		r.vms[j.vm].reserved(r.wall(), j, e, r.groupPart(e))
	}
	r.submit(j, decision{engine: order[0], priority: j.class.Priority()}, need)
}

// reserve takes groupShare of the engines' memory in the order given until the
// need is met, or nothing.
func (r *run) reserve(j *job, order []int, need int64) bool {
	j.members = nil
	left := need
	for _, e := range order {
		if left <= 0 {
			break
		}
		if !r.nodes[e].model.Reserve(r.groupPart(e)) {
			continue
		}
		j.members = append(j.members, e)
		r.grouped += r.groupPart(e)
		left -= r.groupPart(e)
	}
	if left <= 0 && j.members[0] == order[0] {
		return true
	}
	r.release(j)
	return false
}

// memory is the fleet's, in tokens.
func (r *run) memory() int64 {
	sum := int64(0)
	for _, n := range r.nodes {
		if !n.dead {
			sum += r.cell.shapes[n.index].MemoryTokens
		}
	}
	return sum
}

func (r *run) groupPart(e int) int64 {
	return int64(groupShare * float64(r.cell.shapes[e].MemoryTokens))
}

// lowNeed is the memory that the job takes at the engine that it runs on; a
// group's is accounted apart.
func (j *job) lowNeed() int64 {
	if j.seq.Reserved > 0 {
		return 0
	}
	return j.bound() + j.maxTokens
}

// release gives a group's memory back.
func (r *run) release(j *job) {
	for _, e := range j.members {
		r.nodes[e].model.Release(r.groupPart(e))
		r.grouped -= r.groupPart(e)
		r.kick(r.nodes[e])
	}
	j.members = nil
}
