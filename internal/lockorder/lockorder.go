// Package lockorder finds mutexes that are locked in opposite orders, by static analysis of whole programs. Two goroutines that lock two such
// mutexes at the same moment wait for each other for good. Calls through interfaces and function values are followed, because a callback
// that is called under a mutex is where the order is hard to see.
//
// A mutex is identified by the type and field that hold it, so two instances of one type count as one mutex. Mutexes of libraries, locks that a
// goroutine takes after the one that started it, and TryLock are not considered.
package lockorder

import (
	"go/types"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/tools/go/callgraph/cha"
	"golang.org/x/tools/go/callgraph/vta"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

// Order says that one mutex is locked while another is held.
type Order struct {
	Held, Locked string
	// Path has the functions from the one that holds the mutex to the one that locks the other.
	Path []string
}

// String implements fmt.Stringer.
func (o Order) String() string {
	return o.Locked + " is locked while " + o.Held + " is held: " + strings.Join(o.Path, " > ")
}

// pair is two mutexes, the second locked while the first is held.
type pair [2]string

// path is a list of functions, each of which calls the next.
type path []string

// analysis has the state of one search.
type analysis struct {
	module string
	// callees has the functions that each call may reach.
	callees map[ssa.CallInstruction][]*ssa.Function
	// locks has the mutexes that a function locks, itself or in calls.
	locks  map[*ssa.Function]map[string]path
	orders map[pair]path
}

// Orders returns which mutexes are locked while others are held, in the main packages that match patterns, below dir. module is the path of
// the module whose functions are analysed.
func Orders(dir, module string, patterns ...string) ([]Order, error) {
	loaded, err := packages.Load(&packages.Config{Mode: packages.LoadAllSyntax, Dir: dir}, patterns...)
	if err != nil {
		return nil, errors.Wrap(err, "load packages")
	}
	if len(loaded) == 0 || packages.PrintErrors(loaded) > 0 {
		return nil, errors.Errorf("packages %v cannot be loaded", patterns)
	}
	program, _ := ssautil.AllPackages(loaded, ssa.InstantiateGenerics)
	program.Build()
	all := ssautil.AllFunctions(program)
	a := &analysis{module: module, callees: make(map[ssa.CallInstruction][]*ssa.Function), locks: make(map[*ssa.Function]map[string]path), orders: make(map[pair]path)}
	for _, node := range vta.CallGraph(all, cha.CallGraph(program)).Nodes {
		for _, edge := range node.Out {
			if edge.Site != nil && a.covers(node.Func) && a.covers(edge.Callee.Func) {
				a.callees[edge.Site] = append(a.callees[edge.Site], edge.Callee.Func)
			}
		}
	}
	functions := slices.SortedFunc(maps.Keys(all), func(f, g *ssa.Function) int { return strings.Compare(f.String(), g.String()) })
	functions = slices.DeleteFunc(functions, func(f *ssa.Function) bool { return !a.covers(f) })
	a.findLocks(functions)
	for _, f := range functions {
		a.findOrders(f)
	}
	return a.sorted(), nil
}

// Inversions returns the orders that contradict each other: of which the locked mutex is, directly or through further ones, also held while
// the other is locked.
func Inversions(orders []Order) (inverted []Order) {
	next := make(map[string][]string)
	for _, o := range orders {
		next[o.Held] = append(next[o.Held], o.Locked)
	}
	for _, o := range orders {
		if reaches(next, o.Locked, o.Held, make(map[string]bool)) {
			inverted = append(inverted, o)
		}
	}
	return inverted
}

// reaches reports whether there is a way from a mutex to another one; seen has the mutexes that were looked at.
func reaches(next map[string][]string, from, to string, seen map[string]bool) bool {
	if from == to {
		return true
	}
	seen[from] = true
	return slices.ContainsFunc(next[from], func(n string) bool { return !seen[n] && reaches(next, n, to, seen) })
}

// covers reports whether a function belongs to the module; the methods that the compiler adds for method values do too.
func (a *analysis) covers(f *ssa.Function) bool {
	return f != nil && strings.Contains(f.String(), a.module)
}

// name returns the name of a function or type without the module.
func (a *analysis) name(full string) string { return strings.ReplaceAll(full, a.module+"/", "") }

// findLocks fills locks. It repeats until the functions that call each other in circles are complete.
func (a *analysis) findLocks(functions []*ssa.Function) {
	for _, f := range functions {
		a.locks[f] = make(map[string]path)
	}
	for changed := true; changed; {
		changed = false
		for _, f := range functions {
			before := len(a.locks[f])
			for _, block := range f.Blocks {
				a.addLocks(f, block)
			}
			changed = changed || len(a.locks[f]) > before
		}
	}
}

// addLocks adds what the calls of a block lock to the locks of its function.
func (a *analysis) addLocks(f *ssa.Function, block *ssa.BasicBlock) {
	add := func(mutex string, p path) {
		if _, known := a.locks[f][mutex]; !known {
			a.locks[f][mutex] = append(path{a.name(f.String())}, p...)
		}
	}
	for _, call := range calls(block) {
		if mutex, op := a.mutexOp(call); op == lock {
			add(mutex, nil)
			continue
		}
		for _, callee := range a.callees[call] {
			for mutex, p := range a.locks[callee] {
				add(mutex, p)
			}
		}
	}
}

// findOrders adds the orders that begin in a function. It follows the mutexes that may be held through the blocks of the function.
func (a *analysis) findOrders(f *ssa.Function) {
	if len(f.Blocks) == 0 {
		return
	}
	heldAt := map[*ssa.BasicBlock]map[string]bool{f.Blocks[0]: {}}
	for work := []*ssa.BasicBlock{f.Blocks[0]}; len(work) > 0; {
		block := work[0]
		work = work[1:]
		held := a.addOrders(f, block, maps.Clone(heldAt[block]))
		for _, successor := range block.Succs {
			before, known := heldAt[successor]
			if !known {
				before = make(map[string]bool)
				heldAt[successor] = before
			}
			count := len(before)
			maps.Copy(before, held)
			if !known || len(before) > count {
				work = append(work, successor)
			}
		}
	}
}

// addOrders adds the orders of a block, at whose beginning some mutexes are held, and returns those that are held at its end.
func (a *analysis) addOrders(f *ssa.Function, block *ssa.BasicBlock, held map[string]bool) map[string]bool {
	add := func(mutex string, p path) {
		for other := range held {
			if _, known := a.orders[pair{other, mutex}]; !known {
				a.orders[pair{other, mutex}] = append(path{a.name(f.String())}, p...)
			}
		}
	}
	for _, call := range calls(block) {
		mutex, op := a.mutexOp(call)
		switch op {
		case lock:
			add(mutex, nil)
			held[mutex] = true
			continue
		case unlock:
			if _, deferred := call.(*ssa.Defer); !deferred {
				delete(held, mutex)
			}
			continue
		}
		for _, callee := range a.callees[call] {
			for mutex, p := range a.locks[callee] {
				add(mutex, p)
			}
		}
	}
	return held
}

// calls returns the calls of a block, without those that start a goroutine.
func calls(block *ssa.BasicBlock) (found []ssa.CallInstruction) {
	for _, instruction := range block.Instrs {
		if _, starts := instruction.(*ssa.Go); starts {
			continue
		}
		if call, ok := instruction.(ssa.CallInstruction); ok {
			found = append(found, call)
		}
	}
	return found
}

// op is what a call does with a mutex.
type op int

const (
	none op = iota
	lock
	unlock
)

// mutexOp returns the mutex that a call locks or unlocks.
func (a *analysis) mutexOp(call ssa.CallInstruction) (mutex string, done op) {
	callee := call.Common().StaticCallee()
	if callee == nil {
		return "", none
	}
	switch callee.String() {
	case "(*sync.Mutex).Lock", "(*sync.RWMutex).Lock", "(*sync.RWMutex).RLock":
		done = lock
	case "(*sync.Mutex).Unlock", "(*sync.RWMutex).Unlock", "(*sync.RWMutex).RUnlock":
		done = unlock
	default:
		return "", none
	}
	return a.mutexName(call.Common().Args[0]), done
}

// mutexName returns the name of a mutex: the type and field that hold it, or the variable.
func (a *analysis) mutexName(mutex ssa.Value) string {
	if field, ok := mutex.(*ssa.FieldAddr); ok {
		holder := field.X.Type().Underlying().(*types.Pointer).Elem()
		return a.name(holder.String()) + "." + holder.Underlying().(*types.Struct).Field(field.Field).Name()
	}
	if mutex.Parent() == nil {
		return a.name(mutex.String()) // a variable of a package
	}
	return a.name(mutex.Parent().String()) + ":" + mutex.Name()
}

func (a *analysis) sorted() []Order {
	orders := make([]Order, 0, len(a.orders))
	for p, by := range a.orders {
		orders = append(orders, Order{Held: p[0], Locked: p[1], Path: by})
	}
	slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(a.Held+" "+a.Locked, b.Held+" "+b.Locked) })
	return orders
}
