package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/internal/stub/servicestub"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/source/httpsource"
)

// Team is a team that sends requests.
type Team struct {
	Name  string
	Token string
}

// ReadTeams reads the teams from a file with lines of the form
// "team=NAME token=TOKEN". Other lines are skipped.
func ReadTeams(path string) ([]Team, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var teams []Team
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, token, found := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		team, isTeam := strings.CutPrefix(name, "team=")
		secret, isToken := strings.CutPrefix(strings.TrimSpace(token), "token=")
		if found && isTeam && isToken {
			teams = append(teams, Team{Name: team, Token: secret})
		}
	}
	if len(teams) == 0 {
		return nil, fmt.Errorf("file %q has no line of the form team=NAME token=TOKEN", path)
	}
	return teams, lines.Err()
}

// SortedTeams returns the teams of a map from name to token, ascending by name.
func SortedTeams(tokens map[string]string) []Team {
	teams := make([]Team, 0, len(tokens))
	for _, name := range slices.Sorted(maps.Keys(tokens)) {
		teams = append(teams, Team{Name: name, Token: tokens[name]})
	}
	return teams
}

// AssignTeams returns count teams, repeating the given ones if they are fewer.
func AssignTeams(teams []Team, count int) []Team {
	assigned := make([]Team, count)
	for i := range assigned {
		assigned[i] = teams[i%len(teams)]
	}
	return assigned
}

// ReadPIDs reads the process identifiers from the files that match a pattern.
func ReadPIDs(pattern string) ([]int, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	var pids []int
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
		if err != nil {
			return nil, fmt.Errorf("file %q: %w", path, err)
		}
		pids = append(pids, pid)
	}
	return pids, nil
}

// Fleet is what the host list of the platform names.
type Fleet struct {
	Hosts    []source.Entry
	Engines  []source.Entry
	Services []source.Entry
}

// ReadFleet reads the host list of the platform at address, an IP:port.
func ReadFleet(ctx context.Context, address string) (*Fleet, error) {
	list := httpsource.New(address)
	defer list.Close()
	entries, err := list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{}
	for _, entry := range entries {
		switch entry.Role {
		case source.RoleHost:
			fleet.Hosts = append(fleet.Hosts, entry)
		case source.RoleEngine:
			fleet.Engines = append(fleet.Engines, entry)
		case source.RoleService:
			fleet.Services = append(fleet.Services, entry)
		}
	}
	if len(fleet.Hosts) == 0 {
		return nil, fmt.Errorf("the host list at %s names no entry host", address)
	}
	return fleet, nil
}

// HostAddresses returns the caller addresses of the entry hosts.
func (f *Fleet) HostAddresses() []string {
	addresses := make([]string, 0, len(f.Hosts))
	for _, host := range f.Hosts {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

// EngineRuns reads what the engine stand-in at address ran since the given
// time.
func EngineRuns(ctx context.Context, address string, since time.Time) ([]enginestub.Run, error) {
	var runs []enginestub.Run
	url := fmt.Sprintf("http://%s/control/log?since=%d", address, since.UnixMilli())
	return runs, getJSON(ctx, url, "", &runs)
}

// ServiceCalls reads the calls that the service stand-in at address ran.
func ServiceCalls(ctx context.Context, address string) ([]servicestub.Call, error) {
	var calls []servicestub.Call
	return calls, getJSON(ctx, "http://"+address+"/control/log", "", &calls)
}

// FirstModel returns the first model that the host at address serves.
func FirstModel(ctx context.Context, address, token string) (string, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := getJSON(ctx, "http://"+address+"/v1/models", token, &list); err != nil {
		return "", err
	}
	if len(list.Data) == 0 {
		return "", fmt.Errorf("the host at %s serves no model", address)
	}
	return list.Data[0].ID, nil
}

func getJSON(ctx context.Context, url, token string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read %s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
