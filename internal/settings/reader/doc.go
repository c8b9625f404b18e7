// Package reader reads INI files into typed values that check themselves: the
// settings of a daemon ([ReadSettings]) and the schema that operators declare
// services and zones in ([ReadSchema]).
//
// Both list every fault of a file, not only the first, each as a [FaultError]
// with file, section and key.
package reader
