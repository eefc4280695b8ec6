// Package codec has the stored formats: keys of the state service, the records under them,
// and the short texts that tasks are kept in. Formats of earlier versions stay readable, and
// none is written that a version which may still run beside this one would misread.
package codec
