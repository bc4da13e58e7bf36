package event

import "slices"

// Catalogue lists one event of each kind, in the order of their numbers.
func Catalogue() []Event {
	return slices.Concat(
		lifecycleEvents,
		configurationEvents,
		promptsEvents,
		placementEvents,
		callsEvents,
		ordersEvents,
		membershipEvents,
		peersEvents,
		toolsEvents,
	)
}
