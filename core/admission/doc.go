// Package admission decides, before anything is sent, whether a prompt is
// predicted to end before its deadline. One that is not gets its answer at once,
// with the time after which the queue will have drained enough. Where the
// service is too busy for all, an organisation that used more than its weighted
// share of tokens is refused earlier than one that did not.
//
// The package is pure: times are passed in.
package admission
