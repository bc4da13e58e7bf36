// Package report renders the results of load runs as one HTML page: plots of
// the distributions of the time to first token and of the time between tokens by
// length class, and tables by class and organisation. The plots are inline SVG,
// so that the page loads nothing over the network.
package report
