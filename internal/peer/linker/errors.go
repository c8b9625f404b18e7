package linker

import (
	"errors"
	"fmt"
	"net/netip"
	"syscall"
)

// Codes that the linker itself sets in a RemoteError.
const (
	// CodeInternal is the code of a handler's error that has no code.
	CodeInternal = "internal"
	// CodeUnknownCall is the code of a call for which the peer has no handler.
	CodeUnknownCall = "unknown_call"
	// CodeInvalid is the code of a body that the peer could not decode.
	CodeInvalid = "invalid"
	// CodeTimeout is the code of a call whose deadline passed at the peer.
	CodeTimeout = "timeout"
)

// UnreachableError is the error of a call to which the peer gave no answer.
type UnreachableError struct {
	Peer netip.AddrPort
	// Sent is true when bytes of the call may have reached the peer.
	Sent bool
	// Refused is true when the peer's address refused the connection, since no process listens
	// there.
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

// RemoteError is an error that a peer's handler returned. A handler returns a RemoteError to set
// the code.
type RemoteError struct {
	Code   string `json:"c"`
	Reason string `json:"r"`
}

// Error returns the code and the reason.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer returned error %s: %s", e.Code, e.Reason)
}

// remoteError returns the RemoteError that err wraps, or one with CodeInternal.
func remoteError(err error) *RemoteError {
	var re *RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &RemoteError{Code: CodeInternal, Reason: err.Error()}
}

// isRefused reports whether a dial failed because no process listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
