package event

// membershipEvents lists one event of each kind of this file; numbers 500 to 549.
var membershipEvents = []Event{}
