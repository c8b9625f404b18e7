// Package linker carries messages between daemons over drpc on TCP with CBOR.
//
// Sub-requests use one long-lived bidirectional stream from each daemon to each peer (Exchange):
// request ids match results to tasks, frames batch both, and a stream on which the peer is silent
// is closed and dialled again. Everything else is a unary call over a small pool of connections
// (Call, Handle).
//
// Linker is the entry point. A link is the sending end of a stream, a session the serving end, a
// pool the connections for unary calls to one peer, and a peerConn one TCP connection that counts
// its bytes.
package linker
