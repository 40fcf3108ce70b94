package keyed

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronscale/citronscale/ident"
)

const (
	keyPrefix    = "ck1"
	keySeparator = "."
	keyFields    = 7
	numberBase   = 36
	tagBytes     = 8  // binds the key to its team
	macBytes     = 18 // authenticates the key
	// MaxKeyLength is the largest length of a key in bytes.
	MaxKeyLength = 192
)

// Key is what the text of an idempotency key says.
type Key struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Expires     time.Time // on the clock of the issuer, in whole milliseconds
	Sequence    uint64    // counts the keys of one incarnation from 1
	tag         string
	mac         string
}

// String returns the text of the key. It consists of characters that a header
// token may hold.
func (k Key) String() string {
	return k.signedText() + keySeparator + k.mac
}

func (k Key) signedText() string {
	fields := []string{
		keyPrefix,
		string(k.Host),
		strconv.FormatUint(uint64(k.Incarnation), numberBase),
		strconv.FormatInt(k.Expires.UnixMilli(), numberBase),
		strconv.FormatUint(k.Sequence, numberBase),
		k.tag,
	}
	return strings.Join(fields, keySeparator)
}

// ParseKey reads the text of a key. It checks the form only; whether the key
// is genuine is known to its issuer alone.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, fmt.Errorf("key has %d bytes, more than %d", len(text), MaxKeyLength)
	}
	fields := strings.Split(text, keySeparator)
	if len(fields) != keyFields || fields[0] != keyPrefix {
		return Key{}, fmt.Errorf("key does not have the form %s.HOST.INCARNATION.EXPIRY.SEQUENCE.TAG.MAC", keyPrefix)
	}
	numbers, err := parseNumbers(fields[2:5])
	if err != nil {
		return Key{}, err
	}
	key := Key{
		Host:        ident.Host(fields[1]),
		Incarnation: ident.Incarnation(numbers[0]),
		Expires:     time.UnixMilli(int64(numbers[1])),
		Sequence:    numbers[2],
		tag:         fields[5],
		mac:         fields[6],
	}
	return key, checkForm(key, text)
}

func parseNumbers(fields []string) ([]uint64, error) {
	numbers := make([]uint64, len(fields))
	for i, field := range fields {
		number, err := strconv.ParseUint(field, numberBase, 63)
		if err != nil {
			return nil, fmt.Errorf("key holds an invalid number: %w", err)
		}
		numbers[i] = number
	}
	return numbers, nil
}

// checkForm refuses every text that String would not write, so that two texts
// never name one key.
func checkForm(key Key, text string) error {
	if !ident.ValidName(string(key.Host)) {
		return fmt.Errorf("key holds an invalid host name")
	}
	if !validCode(key.tag, tagBytes) || !validCode(key.mac, macBytes) {
		return fmt.Errorf("key holds an invalid tag or MAC")
	}
	if key.String() != text {
		return fmt.Errorf("key is not in canonical form")
	}
	return nil
}

// validCode reports whether text is the canonical encoding of size bytes.
func validCode(text string, size int) bool {
	data, err := encoding.DecodeString(text)
	return err == nil && len(data) == size && encoding.EncodeToString(data) == text
}

var encoding = base64.RawURLEncoding.Strict()

// Secret authenticates the keys of one incarnation. It never leaves the
// process that made it.
type Secret [sha256.Size]byte

// tag binds a key to a team without showing the name of the team.
func (s Secret) tag(team string) string {
	return s.sum("team", team, tagBytes)
}

func (s Secret) mac(key Key) string {
	return s.sum("key", key.signedText(), macBytes)
}

func (s Secret) sum(purpose, text string, size int) string {
	hash := hmac.New(sha256.New, s[:])
	hash.Write([]byte(purpose + "\x00" + text))
	return encoding.EncodeToString(hash.Sum(nil)[:size])
}

// signed reports whether the key was made with the secret.
func (s Secret) signed(key Key) bool {
	return hmac.Equal([]byte(s.mac(key)), []byte(key.mac))
}
