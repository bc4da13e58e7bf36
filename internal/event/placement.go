package event

// placementEvents lists one event of each kind of this file; numbers 350 to 399.
var placementEvents = []Event{}
