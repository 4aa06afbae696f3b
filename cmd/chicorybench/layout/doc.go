// Package layout generates a small deployment for one machine: the documents of
// the services, the settings of each process, the plan of the load and the list
// of processes for the script that starts them.
package layout
