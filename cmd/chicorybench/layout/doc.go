// Package layout writes a small deployment for one machine: the documents of
// the services, the settings of each process, the plan of the load and the list
// of processes that a script starts.
package layout
