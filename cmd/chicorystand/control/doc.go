// Package control implements the control endpoint of a stand-in, through which
// tests and demonstrations inject faults and read what the stand-in actually did.
// It is not part of any protocol of the daemons. It also works while the stand-in
// is frozen.
//
//	GET  /faults    the current faults, as JSON of the stand-in's own type
//	POST /faults    replaces the faults; absent fields mean no fault
//	GET  /ledger    what the stand-in actually ran, as JSON of its own type
//	POST /crash     ends the process immediately with status 3
//	POST /freeze    stops serving; connections stay open
//	POST /thaw      resumes serving
//	POST /silence   makes the open connections silent permanently; new ones work
//	POST /NAME      other actions, which the usage text of the stand-in's verb lists
package control
