// Package report generates an HTML page from the journal of bench runs. For
// each simulated day it plots worth and credit over the runs and shows the
// costs that were charged.
package report
