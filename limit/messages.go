package limit

import "chicoryhall.example/chicoryhall"

// Method is the name under which a daemon answers an Ask of its peers.
const Method = "limit.ask"

// Want is the rate that a daemon lacks for one organisation at one service.
type Want struct {
	Service      chicoryhall.ServiceName  `json:"s"`
	Organisation chicoryhall.Organisation `json:"o"`
	Rate         float64                  `json:"r"`
}

// Ask asks a daemon of the same failure domain for rates.
type Ask struct {
	From  chicoryhall.DaemonID `json:"f"`
	Wants []Want               `json:"w"`
}

// Grant lends rates for LoanLifetime, counted by the borrower from when it asked.
type Grant struct {
	Loans []Want `json:"l"`
}
