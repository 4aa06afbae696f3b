package membership

// ToWire exports toWire, which converts a Packet to its JSON form, to tests.
var ToWire = toWire
