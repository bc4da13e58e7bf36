package event

// Catalogue lists one event of each kind, in the order of their areas.
func Catalogue() []Event {
	var all []Event
	for _, a := range areas() {
		all = append(all, a.events...)
	}
	return all
}
