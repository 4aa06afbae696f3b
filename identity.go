package chicoryhall

// EndpointID names one endpoint: a model engine or a plain service's VM.
type EndpointID string

// DaemonID names one chicoryhall daemon.
type DaemonID string

// FailureDomain names a part of a region that fails as a whole.
type FailureDomain string

// Region names a group of failure domains.
type Region string

// Organisation names a customer whose callers share a credential and limits.
type Organisation string

// ServiceName names the service that one document describes.
type ServiceName string

// RequestID names one request across all daemons.
type RequestID string

// ClassName names a class of requests in a service's document.
type ClassName string

// AcceleratorKind names one kind of accelerator, as documents spell it.
type AcceleratorKind string
