package event

// toolsEvents lists the event types of this file, numbers 600 to 649.
var toolsEvents = []Event{}
