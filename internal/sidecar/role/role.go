// Package role maps the names of engine roles in settings and documents to the values of the wire protocol.
package role

import wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"

var roles = map[string]wirev1.EngineRole{
	"prefill": wirev1.EngineRole_ENGINE_ROLE_PREFILL,
	"decode":  wirev1.EngineRole_ENGINE_ROLE_DECODE,
	"service": wirev1.EngineRole_ENGINE_ROLE_SERVICE,
}

// Parse returns the role with a name, or ENGINE_ROLE_UNSPECIFIED for an unknown name.
func Parse(name string) wirev1.EngineRole { return roles[name] }
