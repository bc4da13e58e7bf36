package event

// peersEvents lists one event of each kind of this file; numbers 550 to 599.
var peersEvents = []Event{}
