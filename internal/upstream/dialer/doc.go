// Package dialer sends tasks to one upstream over HTTP and checks the answers.
//
// A [Client] opens its connections itself, one [net/http.ClientConn] each. It can
// therefore tell how many are open and which of them is silent, and ensure that no
// request is sent twice: net/http's own pool would repeat a request on another
// connection.
package dialer
