package revision

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRejectedRevisionIsNotReadAgain(t *testing.T) {
	s := NewState()
	now := time.Unix(1, 0)
	_, err := s.Offer(now, document(2, "format = 1\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.HighestSeen(), uint64(2))
	decision, _ := s.Offer(now, document(3, "format = 9\n"))
	assert.Equal(t, decision, Rejected)
	assert.Equal(t, s.HighestSeen(), uint64(3))
	assert.Equal(t, s.InForce().Revision, uint64(2))
	_, err = s.Offer(now, document(4, "format = 1\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.HighestSeen(), uint64(4))
}
