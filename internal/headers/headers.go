// Package headers selects the HTTP headers that are forwarded between a client and an upstream.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop has the headers that apply to a single connection and are never forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// credentials has the request headers that may contain a client's key or replace it, such as a session cookie.
var credentials = map[string]bool{"Authorization": true, "Cookie": true, "X-Api-Key": true, "Api-Key": true}

// EachResponseHeader calls visit for each header of an upstream's response that is forwarded to the client.
func EachResponseHeader(header http.Header, visit func(name, value string)) {
	eachForwarded(header, nil, visit)
}

// EachRequestHeader calls visit for each header of a client's request that is forwarded to an upstream. Headers with a key
// never are.
func EachRequestHeader(header http.Header, visit func(name, value string)) {
	eachForwarded(header, credentials, visit)
}

func eachForwarded(header http.Header, excluded map[string]bool, visit func(name, value string)) {
	named := connectionHeaders(header)
	for name, values := range header {
		if hopByHop[name] || named[name] || excluded[name] {
			continue
		}
		for _, value := range values {
			visit(name, value)
		}
	}
}

// connectionHeaders returns the names that the Connection header lists as hop-by-hop headers.
func connectionHeaders(header http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
