package lease

// Charged returns the tokens of the engine that are leased or in use.
func (o *Owner) Charged() uint64 {
	return o.charged
}
