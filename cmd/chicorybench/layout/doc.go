// Package layout generates a small deployment for one machine: the documents of
// the services, the settings of each daemon, the plan of the load and faults, and
// the list of processes for scripts/deployment, which starts them.
//
// The deployment has daemons and the stand-ins that they use: a platform, engines
// for the two pipeline services, and the endpoints of the two plain services. The
// names of services, teams, organisations and failure domains are examples.
package layout
