package linker

import (
	"errors"
	"fmt"
	"net/netip"
	"syscall"
)

// Codes of a RemoteError that the linker itself gives.
const (
	// CodeInternal marks an error of a handler that gave no code.
	CodeInternal = "internal"
	// CodeUnknownCall marks a call for which the peer has no handler.
	CodeUnknownCall = "unknown_call"
	// CodeInvalid marks a body that the peer could not decode.
	CodeInvalid = "invalid"
	// CodeTimeout marks a call whose time ran out at the peer.
	CodeTimeout = "timeout"
)

// UnreachableError says that a peer gave no answer.
type UnreachableError struct {
	Peer netip.AddrPort
	// Sent is true when bytes of the call may have reached the peer.
	Sent bool
	// Refused is true when the peer's address refused the connection: no process
	// listens there.
	Refused bool
	Err     error
}

// Error returns the peer and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s is unreachable (sent %t, refused %t): %v", e.Peer, e.Sent, e.Refused, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// RemoteError is an error that a peer's handler returned. Handlers return one
// to choose the code.
type RemoteError struct {
	Code   string `json:"c"`
	Reason string `json:"r"`
}

// Error returns the code and the reason.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer answered %s: %s", e.Code, e.Reason)
}

// remoteError returns err as a RemoteError.
func remoteError(err error) *RemoteError {
	var re *RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &RemoteError{Code: CodeInternal, Reason: err.Error()}
}

// isRefused reports whether a dial failed because nobody listens.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
