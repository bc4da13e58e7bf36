package dispatch

// sampleForLight returns the engines among which a light job is placed: the interactive
// ones first.
func (d *Dispatcher) sampleForLight(fitting []*endpoint, interactive int) []*endpoint {
	return d.sample(fitting, func(e *endpoint) int {
		if e.index < interactive {
			return 0
		}
		return 1
	})
}

// sampleForLong returns the engines that are considered for a long job: first those that
// can receive it and are not interactive, then the others that can receive it, then those
// that can help only.
func (d *Dispatcher) sampleForLong(job *Job, pool []*endpoint, interactive int) []*endpoint {
	return d.sample(pool, func(e *endpoint) int {
		switch {
		case !d.fits(job, e):
			return 2
		case e.index < interactive:
			return 1
		}
		return 0
	})
}

// sampleClasses is the number of classes of engines in a sample.
const sampleClasses = 3

// sample returns at most MaxCandidates engines of a list, those of the lower classes
// first. Of the class that doesn't fit as a whole it takes a range that moves on with each
// search: to evaluate all engines of a large service for each prompt would take more
// processor time than the holder has.
func (d *Dispatcher) sample(list []*endpoint, class func(*endpoint) int) []*endpoint {
	room := d.cfg.MaxCandidates
	if len(list) <= room {
		return list
	}
	classes := &d.scratch.classes
	for c := range classes {
		classes[c] = classes[c][:0]
	}
	for _, e := range list {
		c := class(e)
		classes[c] = append(classes[c], e)
	}
	chosen := make([]*endpoint, 0, room)
	for _, engines := range classes {
		free := room - len(chosen)
		if len(engines) <= free {
			chosen = append(chosen, engines...)
			continue
		}
		first := int(d.searches * int64(free) % int64(len(engines)))
		for i := range free {
			chosen = append(chosen, engines[(first+i)%len(engines)])
		}
	}
	return chosen
}
