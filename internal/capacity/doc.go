// Package capacity contains benchmarks of the costs that grow with the fleet. Each runs at several sizes, so that the
// cost per unit can be read from the slope. docs/CAPACITY.md derives the costs at the design size from the results.
// `make capacity` runs all benchmarks.
package capacity
