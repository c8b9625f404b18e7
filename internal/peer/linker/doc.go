// Package linker carries messages between daemons over drpc on TCP with CBOR.
//
// Sub-requests travel on one long-lived bidirectional stream for each pair of
// daemons (Exchange): request ids pair tasks with results, frames batch both,
// and a stream that goes silent is closed and dialled again. Everything else is
// a unary call over a small pool of connections (Call, Handle).
//
// Linker is the entry; link is the sending end of one stream, session the
// serving end, pool the connections of unary calls to one peer, and wire one
// counted TCP connection.
package linker
