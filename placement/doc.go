// Package placement makes the endpoints of a failure domain load the model layers that the service
// documents assign to them, and changes a model's version without interrupting requests if
// endpoints have memory for two versions.
//
// Planner is a pure state machine. From the documents and the endpoints' own reports it computes
// the complete state that each endpoint has to reach. A new version is loaded while the old one is
// kept, on a few endpoints at a time because the rate of the weight store is limited.
// ServedDocuments lets the daemons route by the old version until the new one is held by a chain of
// endpoints, that is, by endpoints whose layer ranges together cover the model. The old version is
// dropped only after such a chain has existed for longer than the longest timeout of the document's
// classes.
//
// In each failure domain one daemon, elected by package lease, runs the Planner and sends the
// orders; Controller does this. For endpoints that start without layers, PlannedDocuments decides
// which layers they load.
package placement
