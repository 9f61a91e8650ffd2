// Package headers tells which HTTP headers are passed on between a caller and an upstream.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hop lists the headers that belong to one connection.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// secret lists the request headers that can carry a caller's key or stand for it.
var secret = map[string]bool{"Authorization": true, "Cookie": true, "X-Api-Key": true, "Api-Key": true}

// EachResponse calls visit for the headers of an upstream's answer that go to the caller.
func EachResponse(header http.Header, visit func(name, value string)) {
	each(header, nil, visit)
}

// EachRequest calls visit for the headers of a caller's request that go to an upstream; a key never does.
func EachRequest(header http.Header, visit func(name, value string)) {
	each(header, secret, visit)
}

func each(header http.Header, drop map[string]bool, visit func(name, value string)) {
	named := connectionNamed(header)
	for name, values := range header {
		if hop[name] || named[name] || drop[name] {
			continue
		}
		for _, value := range values {
			visit(name, value)
		}
	}
}

// connectionNamed returns the headers that the Connection header names as belonging to the connection.
func connectionNamed(header http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
