package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/citronscale/citronscale/ident"
)

const teamsTable = "teams"

// maxKeys is the largest number of keys and table headers outside the table
// [teams]. The decoder's run time grows with the square of the number of unknown
// fields.
const maxKeys = 6_000

// teamEntry is one entry of the table [teams].
type teamEntry struct {
	name   string
	digest string
	line   int
}

// extractTeams reads the entries of the table [teams]. It returns the document
// with these entries blanked, and the number of keys and headers that remain.
//
// The decoder compares each key with all earlier keys of its table, which takes
// 0.8 s for 21,000 teams, so it must not get the entries.
func extractTeams(data []byte) (remaining []byte, teams []teamEntry, keys int) {
	remaining = slices.Clone(data)
	inTeams := false
	lines := newLineCounter(data)
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		if node.Kind != unstable.KeyValue {
			key, _ := readKey(&parser, node)
			inTeams = node.Kind == unstable.Table && key.String() == teamsTable
			keys++
			continue
		}
		key, offset := readKey(&parser, node)
		if !inTeams || len(key) != 1 || node.Value().Kind != unstable.String {
			keys++
			continue
		}
		teams = append(teams, teamEntry{name: key[0], digest: string(node.Value().Data), line: lines.at(offset)})
		blank(remaining[node.Raw.Offset : node.Raw.Offset+node.Raw.Length])
	}
	return remaining, teams, keys
}

// blank overwrites text with spaces except for line ends, so that line numbers
// stay correct.
func blank(text []byte) {
	for i, c := range text {
		if c != '\n' && c != '\r' {
			text[i] = ' '
		}
	}
}

// inlineTeams returns the teams that the document defines outside a table
// [teams], such as in an inline table.
func (p *parser) inlineTeams(teams map[string]string) []teamEntry {
	list := make([]teamEntry, 0, len(teams))
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		list = append(list, teamEntry{name: name, digest: teams[name], line: p.lines().line(keyPath{teamsTable, name})})
	}
	return list
}

// readTeams checks and adds the teams in the order of their names.
func (p *parser) readTeams(teams []teamEntry) {
	slices.SortStableFunc(teams, func(a, b teamEntry) int { return cmp.Compare(a.name, b.name) })
	p.config.teamNames = make([]string, 0, len(teams))
	p.config.teamTokens = make(map[tokenDigest]uint32, len(teams))
	for i := range teams {
		p.readTeam(&teams[i])
	}
}

func (p *parser) readTeam(team *teamEntry) {
	path := keyPath{teamsTable, team.name}.String()
	names := p.config.teamNames
	if !ident.ValidName(team.name) {
		p.addAt(team.line, path, team.name, "is not a valid team name")
		return
	}
	if len(names) > 0 && names[len(names)-1] == team.name {
		p.addAt(team.line, path, team.digest, "is set twice")
		return
	}
	p.config.teamNames = append(names, team.name)
	digest, err := parseTokenDigest(team.digest)
	if err != nil {
		p.addAt(team.line, path, team.digest, err.Error())
		return
	}
	if owner, ok := p.config.teamTokens[digest]; ok {
		p.addAt(team.line, path, team.digest, "is also the token digest of team "+names[owner])
		return
	}
	p.config.teamTokens[digest] = uint32(len(names))
}
