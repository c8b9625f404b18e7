// Package commander serves the remote procedure calls of operators.
//
// A change is accepted when the platform has written it under the version that
// it was made from, or when a later read shows its id. Of operators that race,
// one wins; the others get the current version. A change whose answer was lost
// is repeated under the same version, which cannot apply it twice, until its
// outcome is certain; what stays uncertain is refused as unsettled, and
// "cornelwood change settle" settles it later.
package commander
