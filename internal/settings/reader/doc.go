// Package reader reads and validates INI files: the settings of a daemon ([ReadSettings]), the settings of an entry
// daemon ([ReadEntrySettings]) and the schema in which operators declare services and zones ([ReadSchema]).
//
// Each of them reports all errors in a file, not only the first, each as a [FileError] with the file, section and key.
package reader
