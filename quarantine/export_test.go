package quarantine

// Remembered returns the number of fingerprints whose last try is remembered.
func (p *AskPace) Remembered() int { return len(p.asked) }
