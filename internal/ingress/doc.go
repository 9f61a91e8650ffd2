// Package ingress bounds what the clients of a listener use of a process: connections, memory of request heads, and the time that they may leave
// the process waiting.
//
// A Guard holds the limits and the state of one listener. Which connection yields (table), what a head costs (headAccount) and where the parts of a
// request end (framer) are decided without I/O; conn applies the decisions.
package ingress
