// Package admission decides, before a prompt is sent to an endpoint, whether it
// is predicted to end before its deadline. Otherwise the prompt is refused at
// once, with the time after which the backlog will have drained enough. Under
// overload, an organisation that used more than its weighted share of tokens is
// refused earlier than one that did not.
//
// The package does no I/O: times are passed in.
package admission
