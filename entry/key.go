package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/result"
)

// acquireKey acquires the job's idempotency key, or returns why it can't.
func (e *Entry) acquireKey(ctx context.Context, j *job, bodyHash uint64) *result.Error {
	rec := blackboard.KeyRecord{Key: xxhash.Sum64String(j.team.Name + "\x00" + j.key), Body: bodyHash, ID: j.id}
	reply, err := e.owners.KeyBegin(ctx, peer.KeyArgs{Record: rec, AgeMillis: j.keyAge.Milliseconds()})
	if err != nil {
		j.key = ""
		return result.Errorf(result.KeyOutOfReach, "the hosts that hold the key are unreachable").After(2 * time.Second)
	}
	key := j.key
	if reply.State != blackboard.KeyNew {
		j.key = "" // it isn't this job's to finish
	}
	switch reply.State {
	case blackboard.KeyRunning:
		return result.Errorf(result.KeyRunning, "%s %q: request %s is in progress", HeaderKey, key, reply.Record.ID).After(time.Second)
	case blackboard.KeyAnswered:
		return result.Errorf(result.KeyAnswered, "%s %q: answered as request %s", HeaderKey, key, reply.Record.ID)
	case blackboard.KeyMismatch:
		return result.Errorf(result.KeyMismatch, "%s %q: used before with another body", HeaderKey, key)
	case blackboard.KeyUnknown:
		j.possiblyRan = true // possibly, under another host
		return result.Errorf(result.OutcomeUnknown, "%s %q: an earlier request may have run", HeaderKey, key)
	}
	return nil
}

// finishKey reports to the key's holders how the job ended.
func (e *Entry) finishKey(j *job, code result.Code) {
	if j.key == "" {
		return
	}
	state := blackboard.KeyUnknown
	switch {
	case code == result.OK:
		state = blackboard.KeyAnswered
	case code.NotRun():
		state = blackboard.KeyNew
	case j.repeatable && j.prompted && j.reply.chunks() == 0 && code != result.OutcomeUnknown:
		state = blackboard.KeyNew // nothing was answered, and it may run again
	}
	rec := blackboard.KeyRecord{Key: xxhash.Sum64String(j.team.Name + "\x00" + j.key), ID: j.id, State: state}
	ctx, cancel := context.WithTimeout(context.Background(), keyEndTimeout)
	defer cancel()
	e.owners.KeyEnd(ctx, peer.KeyArgs{Record: rec})
}

const keyEndTimeout = time.Second
