package route

// TeamNamed returns the team of a name, or nil.
func (t *Table) TeamNamed(name string) *Team {
	for i := range t.config.Teams {
		if t.config.Teams[i].Name == name {
			return &t.config.Teams[i]
		}
	}
	return nil
}
