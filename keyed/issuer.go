package keyed

import (
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
)

// Bounds of one Issue call and of the copies that wait for one running call.
const (
	MaxKeysPerIssue = 256
	MaxAttached     = 16
)

// Options are the settings of an Issuer.
type Options struct {
	Host            ident.Host
	Incarnation     ident.Incarnation
	Secret          Secret        // fresh random bytes of this incarnation
	Lifetime        time.Duration // a key expires this long after it was issued
	MaxKeys         int           // used keys stored at once
	MaxTeamKeys     int           // used keys stored at once for one team
	MaxOutcomeBytes int           // total size of the recorded answers
	MaxAnswerBytes  int           // size of the largest recorded answer
}

// Issuer issues the keys of one incarnation and decides whether a call with one
// of them runs.
type Issuer struct {
	options     Options
	maxLifetime time.Duration // longest lifetime of any key issued so far
	latestTime  time.Time     // latest time observed; used while the clock is behind it
	sequence    uint64
	runs        uint64
	table       map[uint64]*entry // by sequence of the key
	expiry      expiryHeap
	teamKeys    map[string]int // used keys by team tag
	answers     answerList
	replays     replayGuard
}

// New returns an issuer that has issued no key.
func New(options Options) *Issuer {
	return &Issuer{
		options:     options,
		maxLifetime: options.Lifetime,
		table:       make(map[uint64]*entry),
		teamKeys:    make(map[string]int),
		answers:     newAnswerList(),
		replays:     replayGuard{windows: make(map[origin]*window)},
	}
}

// SetLifetime changes the lifetime of the keys issued from now on. Keys issued
// before keep theirs: an expired key must stay expired, because the record of its
// use has been deleted.
func (i *Issuer) SetLifetime(lifetime time.Duration) {
	i.options.Lifetime = lifetime
	i.maxLifetime = max(i.maxLifetime, lifetime)
}

// Used returns the number of used keys that the issuer stores.
func (i *Issuer) Used() int {
	return len(i.table)
}

// AnswerBytes returns the size of the recorded answers.
func (i *Issuer) AnswerBytes() int {
	return i.answers.bytes
}

// advance returns the current time of the issuer, which never goes back, so that
// an expired key stays expired. It uses wall clock readings only, because the
// expiry of a key is a wall clock time.
func (i *Issuer) advance(now time.Time) time.Time {
	now = now.Round(0) // strips the monotonic reading
	if now.After(i.latestTime) {
		i.latestTime = now
	}
	return i.latestTime
}

// Issue returns n new keys for a team.
func (i *Issuer) Issue(now time.Time, team string, n int) ([]string, error) {
	if n < 1 || n > MaxKeysPerIssue {
		return nil, code.New(code.BadRequest, "%d keys requested, want 1 to %d", n, MaxKeysPerIssue)
	}
	now = i.advance(now)
	keys := make([]string, 0, n)
	for range n {
		i.sequence++
		key := Key{
			Host:        i.options.Host,
			Incarnation: i.options.Incarnation,
			Expires:     now.Add(i.options.Lifetime).Truncate(time.Millisecond),
			Sequence:    i.sequence,
			tag:         i.options.Secret.tag(team),
		}
		key.mac = i.options.Secret.mac(key)
		keys = append(keys, key.String())
	}
	return keys, nil
}

// Route is the host that decides about a call with a key.
type Route struct {
	Own         bool // decided by this issuer; otherwise forward to Host
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Route returns the route of a call that arrived at this host. A key of another
// host is routed there, because only that host can check whether it is genuine.
func (i *Issuer) Route(text string) (Route, error) {
	key, err := ParseKey(text)
	if err != nil {
		return Route{}, code.Wrap(err, code.KeyNotIssued)
	}
	route := Route{Host: key.Host, Incarnation: key.Incarnation}
	if key.Host != i.options.Host {
		return route, nil
	}
	if key.Incarnation != i.options.Incarnation {
		return route, lostError(key)
	}
	route.Own = true
	return route, nil
}

// Verify checks that this incarnation issued the key to the team and that the
// key has not expired.
func (i *Issuer) Verify(now time.Time, team, text string) (Key, error) {
	now = i.advance(now)
	key, err := ParseKey(text)
	if err != nil {
		return Key{}, code.Wrap(err, code.KeyNotIssued)
	}
	if key.Host != i.options.Host {
		return Key{}, code.New(code.KeyIssuerLost, "key was issued by host %q, this is %q", key.Host, i.options.Host)
	}
	if key.Incarnation != i.options.Incarnation {
		return Key{}, lostError(key)
	}
	if !i.options.Secret.signed(key) {
		return Key{}, code.New(code.KeyNotIssued, "key is not signed by host %q", key.Host)
	}
	if key.tag != i.options.Secret.tag(team) {
		return Key{}, code.New(code.KeyForeign, "key was not issued to team %q", team)
	}
	if !now.Before(key.Expires) {
		return Key{}, code.New(code.KeyExpired, "key expired %s ago", now.Sub(key.Expires))
	}
	return key, nil
}

func lostError(key Key) error {
	return code.New(code.KeyIssuerLost, "the incarnation of host %q that issued the key has ended", key.Host)
}
