// Package placement chooses the endpoint of a prompt. For each endpoint in view
// it predicts the time to the first token from the endpoint's last load report,
// corrected by what was sent since, and picks the lowest score: the prompt's
// own predicted first token plus the weighted delay that it puts on prompts of
// lower priority there.
//
// The package is pure: times and random numbers are passed in.
package placement
