// Package report makes one page of the journal of bench runs: how the worth and
// the credit of each day moved from run to run, and what each day was charged
// for.
package report
