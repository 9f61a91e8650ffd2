package document

import (
	"fmt"
	"strings"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// checker checks rules that involve more than one field.
type checker struct {
	document  *configv1.Document
	positions *settings.Positions
	faults    *settings.Faults
}

func (c *checker) run() {
	c.checkAccounts()
	c.checkKeys()
	c.checkRoutes()
	c.checkUpstreams()
}

func (c *checker) addFault(kind, name, key, value, problem, allowed string) {
	section := settings.SectionName(kind, name)
	c.faults.Add(settings.Fault{
		File:    c.positions.File,
		Line:    c.positions.Line(section, key),
		Section: section,
		Key:     key,
		Value:   value,
		Problem: problem,
		Allowed: allowed,
	})
}

// firstUser returns the name of the section that already uses a value, if any. Otherwise it records name as the user.
func firstUser(seen map[string]string, value, name string) (string, bool) {
	if other, ok := seen[value]; ok {
		return other, true
	}
	seen[value] = name
	return "", false
}

func (c *checker) checkAccounts() {
	for _, account := range c.document.GetAccounts() {
		if account.GetRate() == 0 || account.GetBurst()/MinBurstSeconds >= account.GetRate() {
			continue
		}
		c.addFault("account", account.GetName(), "burst", fmt.Sprint(account.GetBurst()),
			"burst is less than 4 seconds of rate", fmt.Sprintf("at least %d", account.GetRate()*MinBurstSeconds))
	}
}

func (c *checker) checkKeys() {
	accounts := map[string]bool{}
	var names []string
	for _, account := range c.document.GetAccounts() {
		accounts[account.GetName()] = true
		names = append(names, account.GetName())
	}
	hashes := map[string]string{}
	for _, key := range c.document.GetKeys() {
		if key.GetAccount() != "" && !accounts[key.GetAccount()] {
			c.addFault("key", key.GetName(), "account", key.GetAccount(), "no such account in this document", joinNames(names))
		}
		hash := strings.ToLower(key.GetSha256())
		if other, taken := firstUser(hashes, hash, key.GetName()); taken && hash != "" {
			c.addFault("key", key.GetName(), "sha256", "", fmt.Sprintf("same key as [key %q]", other), "")
		}
	}
}

// joinNames lists names for a fault. Long lists are truncated.
func joinNames(names []string) string {
	const maxNames = 12
	if len(names) == 0 {
		return "none declared"
	}
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + " and others"
	}
	return strings.Join(names, ", ")
}

func (c *checker) checkRoutes() {
	services := map[string]bool{}
	for _, upstream := range c.document.GetUpstreams() {
		if upstream.GetRole() == RoleService {
			services[upstream.GetPool()] = true
		}
	}
	byPath := map[string][]*configv1.Document_Route{}
	for _, route := range c.document.GetRoutes() {
		if pool := route.GetPool(); pool != "" && !services[pool] {
			c.addFault("route", route.GetName(), "pool", pool, "no upstream of role service has this pool", "")
		}
		path := CleanPath(route.GetPath())
		if path == "" {
			continue
		}
		for _, other := range byPath[path] {
			if method := SharedMethod(route, other); method != "" {
				c.addFault("route", route.GetName(), "path", route.GetPath(),
					fmt.Sprintf("same path and method (%s) as [route %q]", method, other.GetName()), "")
				break
			}
		}
		byPath[path] = append(byPath[path], route)
	}
}

// CleanPath removes trailing slashes, so that "/a" and "/a/" are the same path. The root path remains "/".
func CleanPath(path string) string {
	clean := strings.TrimRight(path, "/")
	if clean == "" && path != "" {
		return "/"
	}
	return clean
}

// SharedMethod returns the first method that both routes accept, or "" if there is none.
func SharedMethod(a, b *configv1.Document_Route) string {
	for _, method := range knownMethods {
		if AcceptsMethod(a, method) && AcceptsMethod(b, method) {
			return method
		}
	}
	return ""
}

// AcceptsMethod reports whether the route accepts the method.
func AcceptsMethod(route *configv1.Document_Route, method string) bool {
	methods := Methods(route)
	for _, candidate := range methods {
		if candidate == method {
			return true
		}
	}
	return len(methods) == 0
}

func (c *checker) checkUpstreams() {
	models := map[string]bool{}
	var names []string
	for _, model := range c.document.GetModels() {
		models[model.GetName()] = true
		names = append(names, model.GetName())
	}
	addresses := map[string]string{}
	for _, upstream := range c.document.GetUpstreams() {
		name, pool, role := upstream.GetName(), upstream.GetPool(), upstream.GetRole()
		if pool != "" && !models[pool] && (role == RolePrefill || role == RoleDecode) {
			c.addFault("upstream", name, "pool", pool, "no such model in this document", joinNames(names))
		}
		address := upstream.GetAddress()
		if other, taken := firstUser(addresses, address, name); taken && address != "" {
			c.addFault("upstream", name, "address", address, fmt.Sprintf("same address as [upstream %q]", other), "")
		}
	}
}
