package event

import "github.com/apex/log"

// ordersEvents lists one event of each kind of this file; numbers 450 to 499.
var ordersEvents = []Event{LeaseStarted{}, LeaseStopped{}, LeaseFault{}, OrderSent{}, OrderFailed{}, OrderFault{}}

// LeaseStarted is written when this VM begins to hold a lease.
type LeaseStarted struct {
	Lease   string `log:"lease"`
	Fencing int64  `log:"fencing"`
}

// Def implements Event.
func (LeaseStarted) Def() Def {
	return Def{450, "lease_started", log.InfoLevel, "The VM holds the lease under the fencing number."}
}

// LeaseStopped is written when this VM no longer holds a lease.
type LeaseStopped struct {
	Lease   string `log:"lease"`
	Fencing int64  `log:"fencing"`
}

// Def implements Event.
func (LeaseStopped) Def() Def {
	return Def{451, "lease_stopped", log.InfoLevel, "The VM released the lease, lost it, or could not renew it in time."}
}

// LeaseFault is written when a lease gets an event that its chart lacks.
type LeaseFault struct {
	Lease  string `log:"lease"`
	Reason string `log:"reason"`
}

// Def implements Event.
func (LeaseFault) Def() Def {
	return Def{452, "lease_fault", log.ErrorLevel, "A fault of cornelsaddle itself in the handling of a lease."}
}

// OrderSent is written when an endpoint took an order.
type OrderSent struct {
	Endpoint string `log:"endpoint"`
	Model    string `log:"model"`
	Version  string `log:"version"`
	Fencing  int64  `log:"fencing"`
}

// Def implements Event.
func (OrderSent) Def() Def {
	return Def{453, "order_sent", log.InfoLevel, "The endpoint took an order."}
}

// OrderFailed is written when an order was refused or its answer was lost.
type OrderFailed struct {
	Endpoint string `log:"endpoint"`
	Fencing  int64  `log:"fencing"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (OrderFailed) Def() Def {
	return Def{454, "order_failed", log.WarnLevel, "An order was refused or its answer was lost; the endpoint's state is read before the next one."}
}

// OrderFault is written when a reconciler gets an event that its chart lacks.
type OrderFault struct {
	Service string `log:"service"`
	Reason  string `log:"reason"`
}

// Def implements Event.
func (OrderFault) Def() Def {
	return Def{455, "order_fault", log.ErrorLevel, "A fault of cornelsaddle itself in the handling of orders."}
}
