package event

// Catalogue returns one zero event of each type, ordered by area.
func Catalogue() []Event {
	var all []Event
	for _, a := range areas() {
		all = append(all, a.events...)
	}
	return all
}
