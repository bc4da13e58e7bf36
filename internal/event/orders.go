package event

// ordersEvents lists one event of each kind of this file; numbers 450 to 499.
var ordersEvents = []Event{}
