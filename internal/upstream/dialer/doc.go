// Package dialer sends tasks to one upstream over HTTP and checks the answers.
//
// A [Client] opens its connections itself, one [net/http.ClientConn] each, and
// so knows how many are open, which of them has gone silent, and that a request
// is never replayed behind its back: net/http's own pool would send a request
// again on another connection.
package dialer
