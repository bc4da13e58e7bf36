package event

// callsEvents lists one event of each kind of this file; numbers 400 to 449.
var callsEvents = []Event{}
