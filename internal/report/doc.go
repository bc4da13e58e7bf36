// Package report turns the results of load runs into one HTML page with plots:
// the distribution of the time to first token by length class, and tables by
// class and organisation. The page holds its plots as SVG and needs no network.
package report
