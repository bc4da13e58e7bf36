package event

import "github.com/apex/log"

// ordersEvents lists the event types of this file, numbers 450 to 499.
var ordersEvents = []Event{LeaseStarted{}, LeaseStopped{}, LeaseFault{}, OrderSent{}, OrderFailed{}, OrderFault{}}

// LeaseStarted is emitted when this VM acquires a lease.
type LeaseStarted struct {
	Lease   string `log:"lease"`
	Fencing int64  `log:"fencing"`
}

// Def implements Event.
func (LeaseStarted) Def() Def {
	return Def{450, "lease_started", log.InfoLevel, "The VM acquired the lease; fencing is its fencing number."}
}

// LeaseStopped is emitted when this VM no longer holds a lease.
type LeaseStopped struct {
	Lease   string `log:"lease"`
	Fencing int64  `log:"fencing"`
}

// Def implements Event.
func (LeaseStopped) Def() Def {
	return Def{451, "lease_stopped", log.InfoLevel, "The VM released the lease, lost it, or could not renew it in time."}
}

// LeaseFault is emitted when a lease receives an event that its state chart
// does not handle.
type LeaseFault struct {
	Lease  string `log:"lease"`
	Reason string `log:"reason"`
}

// Def implements Event.
func (LeaseFault) Def() Def {
	return Def{452, "lease_fault", log.ErrorLevel, "Internal error of cornelsaddle in the handling of a lease."}
}

// OrderSent is emitted when an endpoint accepted an order.
type OrderSent struct {
	Endpoint string `log:"endpoint"`
	Model    string `log:"model"`
	Version  string `log:"version"`
	Fencing  int64  `log:"fencing"`
}

// Def implements Event.
func (OrderSent) Def() Def {
	return Def{453, "order_sent", log.InfoLevel, "The endpoint accepted an order."}
}

// OrderFailed is emitted when an order was refused or its answer was lost.
type OrderFailed struct {
	Endpoint string `log:"endpoint"`
	Fencing  int64  `log:"fencing"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (OrderFailed) Def() Def {
	return Def{454, "order_failed", log.WarnLevel, "An order was refused or its answer was lost; the endpoint's state is read before the next one."}
}

// OrderFault is emitted when a reconciler receives an event that its state
// chart does not handle.
type OrderFault struct {
	Service string `log:"service"`
	Reason  string `log:"reason"`
}

// Def implements Event.
func (OrderFault) Def() Def {
	return Def{455, "order_fault", log.ErrorLevel, "Internal error of cornelsaddle in the handling of orders."}
}
