// Package load is the root of the module with the load generator, the benchmark,
// the cost measurements and the cluster tests. It contains no code.
package load
