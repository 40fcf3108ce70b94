package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// Options are the parameters of a Limiter.
type Options struct {
	PropagationTime time.Duration // time in which a membership record reaches all hosts
	EvenFraction    float64       // fraction of the rate that counts as demand spread evenly over all hosts
	IdleTime        time.Duration // time without requests after which the bucket of a team is deleted
}

// DefaultOptions returns the default parameters.
func DefaultOptions() Options {
	return Options{PropagationTime: 5 * time.Second, EvenFraction: 0.25, IdleTime: time.Minute}
}

// TeamRate is the rate limit of one team over all hosts.
type TeamRate struct {
	TokensPerSecond float64 // zero means no limit
	BurstTokens     float64
}

// Limiter limits the token rates of the teams that are active on this host.
type Limiter struct {
	options   Options
	teams     map[string]*bucket
	peers     map[uint32]peerDemand   // by team digest
	peerTeams map[ident.Host][]uint32 // digests of the teams for which the host advertises demand
	hosts     int
}

// NewLimiter returns a Limiter without teams for the given number of hosts, this
// one included.
func NewLimiter(options Options, hosts int) *Limiter {
	return &Limiter{
		options:   options,
		teams:     make(map[string]*bucket),
		peers:     make(map[uint32]peerDemand),
		peerTeams: make(map[ident.Host][]uint32),
		hosts:     max(hosts, 1),
	}
}

// TeamDigest returns the digest that identifies a team in membership records. Two
// teams with the same digest count as one in the demand of other hosts, which
// lowers their shares and never raises them.
func TeamDigest(team string) uint32 {
	return uint32(xxhash.Sum64String(team))
}

// Allow takes the tokens of a request from the bucket of its team. If there are
// too few, it returns false and the time until there are enough. A request
// larger than the bucket is allowed when the bucket is full, and makes its level
// negative.
func (l *Limiter) Allow(now time.Time, team string, limit TeamRate, tokens uint64) (bool, time.Duration) {
	b := l.bucket(now, team)
	b.demand.Add(now, float64(tokens))
	b.requestedAt = now
	if limit.TokensPerSecond <= 0 {
		return true, 0
	}
	b.limit = limit
	l.refill(now, team, b)
	return b.take(float64(tokens))
}

// SetPeerUsage replaces the demand of another host by the usage in its membership
// record. The host package calls it for every member before the first request is
// admitted, and then at least once each PropagationTime.
func (l *Limiter) SetPeerUsage(host ident.Host, usage []*peerv1.TeamUsage) {
	values := make(map[uint32]float64, len(usage))
	for _, u := range usage {
		values[u.GetTeamDigest()] += float64(u.GetTokensPerSecond())
	}
	l.RemovePeer(host)
	for digest, value := range values {
		l.setPeer(digest, host, value)
	}
}

func (l *Limiter) setPeer(digest uint32, host ident.Host, value float64) {
	demand := l.peers[digest]
	if demand == nil {
		demand = make(peerDemand)
		l.peers[digest] = demand
	}
	demand[host] = value
	l.peerTeams[host] = append(l.peerTeams[host], digest)
}

// SetHosts sets the number of known hosts, including this one and recently
// failed ones.
func (l *Limiter) SetHosts(hosts int) {
	l.hosts = max(hosts, 1)
}

// RemovePeer deletes the demand of a host that is no longer in the membership.
func (l *Limiter) RemovePeer(host ident.Host) {
	for _, digest := range l.peerTeams[host] {
		demand := l.peers[digest]
		delete(demand, host)
		if len(demand) == 0 {
			delete(l.peers, digest)
		}
	}
	delete(l.peerTeams, host)
}

// Usage returns the demand that the membership record of this host advertises
// from now on, of at most maxTeams teams, the largest first. It deletes the
// buckets of idle teams. The host package calls it before each change of the
// record, at least once each second.
func (l *Limiter) Usage(now time.Time, maxTeams int) []*peerv1.TeamUsage {
	usage := make([]*peerv1.TeamUsage, 0, len(l.teams))
	for team, b := range l.teams {
		l.refill(now, team, b)
		if now.Sub(b.requestedAt) > l.options.IdleTime && b.level >= b.size {
			delete(l.teams, team)
			continue
		}
		usage = append(usage, &peerv1.TeamUsage{
			TeamDigest:      TeamDigest(team),
			TokensPerSecond: uint32(b.demand.PerSecond(now)),
		})
	}
	slices.SortFunc(usage, func(a, b *peerv1.TeamUsage) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.TeamDigest, b.TeamDigest))
	})
	usage = usage[:min(len(usage), maxTeams)]
	l.advertise(now, usage)
	return usage
}

// advertise records the demand that the other hosts will receive.
func (l *Limiter) advertise(now time.Time, usage []*peerv1.TeamUsage) {
	values := make(map[uint32]float64, len(usage))
	for _, u := range usage {
		values[u.TeamDigest] = float64(u.TokensPerSecond)
	}
	for team, b := range l.teams {
		b.advertised.observe(now, l.options.PropagationTime, values[TeamDigest(team)])
	}
}

// Rate returns the part of a team's rate that this host may use, in tokens per
// second.
func (l *Limiter) Rate(now time.Time, team string, limit TeamRate) float64 {
	return limit.TokensPerSecond * l.share(now, team, l.bucket(now, team), limit)
}

func (l *Limiter) share(now time.Time, team string, b *bucket, limit TeamRate) float64 {
	return b.share(now, limit, l.peers[TeamDigest(team)], l.hosts, &l.options)
}

func (l *Limiter) refill(now time.Time, team string, b *bucket) {
	if b.limit.TokensPerSecond > 0 {
		b.refill(now, l.share(now, team, b, b.limit))
	}
}

// Teams returns the number of teams that have a bucket.
func (l *Limiter) Teams() int {
	return len(l.teams)
}

func (l *Limiter) bucket(now time.Time, team string) *bucket {
	b := l.teams[team]
	if b != nil {
		return b
	}
	b = newBucket(now)
	l.teams[team] = b
	return b
}
