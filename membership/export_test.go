package membership

// ToWire gives tests the packet as JSON carries it.
var ToWire = toWire
