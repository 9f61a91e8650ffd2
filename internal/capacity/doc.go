// Package capacity holds benchmarks of the costs that grow with the fleet, each at several sizes so that a slope can be
// read. docs/CAPACITY.md works out the costs at the design size from them. `make capacity` runs them all.
package capacity
