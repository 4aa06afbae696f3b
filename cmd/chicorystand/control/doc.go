// Package control implements the HTTP endpoint through which tests and
// demonstrations inject faults into a stand-in, such as a simulated engine, and
// read its ledger, the record of what it did. Package hall has a control endpoint
// of its own. The daemons do not use this endpoint. It also works while the
// stand-in is frozen.
//
//	GET  /faults    the current faults, as JSON of the stand-in's own type
//	POST /faults    sets the faults; absent fields mean no fault, but a link that is
//	                not named keeps its faults (see package faultproxy)
//	GET  /ledger    the ledger, as JSON of the stand-in's own type: what it ran, or
//	                what it relayed
//	POST /crash     ends the process immediately with status 3
//	POST /ACTION    an action of the stand-in
//
// The usage text of each stand-in's subcommand lists its actions. These are common:
//
//	freeze    stops serving, like a paused process: connections stay open, and
//	          requests wait until thaw
//	thaw      resumes serving and handles the requests that waited
//	silence   makes the open connections discard all further data permanently, like
//	          links on which packets are lost: they stay open. New ones work.
package control
