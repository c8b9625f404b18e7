// Package commander serves the operators' HTTP calls.
//
// A change is accepted when the platform has written it under the version that
// it was made from, or when a later read shows its id. Of operators that race, one
// wins; the others get the current version. When the answer to a write is lost, the
// write is repeated under the same version, which cannot apply the change twice,
// until its outcome is certain. A change whose outcome stays uncertain is refused
// as unsettled; "cornelwood change settle" determines its outcome later.
package commander
