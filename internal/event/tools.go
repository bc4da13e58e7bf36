package event

// toolsEvents lists one event of each kind of this file; numbers 600 to 649.
var toolsEvents = []Event{}
