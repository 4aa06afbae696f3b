// Package control is the endpoint by which tests and demonstrations set the
// faults of a stand-in and read what it truly did. It is no part of any
// protocol that the daemon speaks, and it answers while the stand-in is frozen.
//
//	GET  /faults    the faults set, as the stand-in's own typed JSON
//	POST /faults    sets the faults; absent fields are cleared
//	GET  /ledger    what the stand-in truly ran, as its own typed JSON
//	POST /crash     ends the process at once with status 3
//	POST /freeze    stops serving; connections stay open
//	POST /thaw      goes on serving
//	POST /silence   makes the open connections silent for good; new ones work
//	POST /NAME      other actions of one kind of stand-in, named in its usage text
package control
