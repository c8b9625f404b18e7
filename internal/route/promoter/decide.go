package promoter

import (
	"fmt"
	"math"
	"time"
)

const (
	// learnTime is how long before any daemon learned of an order it may have been given: the pause between two watches of
	// the store, and a call.
	learnTime = 700 * time.Millisecond
	// moveTime is the time for all daemons to learn of a decision: the notices, and the next collection of counts.
	moveTime = time.Second
	// writeTime is the time for one write that fails and one that succeeds.
	writeTime = 700 * time.Millisecond
	// minFinishTime is the least time for the exchanges in flight to end. They are assumed to take at most
	// finishFactor times the slowest answer so far.
	minFinishTime = 500 * time.Millisecond
	finishFactor  = 1.5
	// minTestShare is the least share of the time limit during which a version is tested, however long requests take.
	minTestShare = 0.5
	// maxOverrun is the multiple of the time limit after which a roll-out that is moving, but cannot be completed, is rolled
	// back.
	maxOverrun = 2
)

// Action is what the deciding daemon does with a roll-out.
type Action int

// Actions.
const (
	// Keep: nothing.
	Keep Action = iota
	// Move: the version is good, and all requests go to it.
	Move
	// Complete: nothing is in flight at the other searchers, which may stop.
	Complete
	// RollBack: the version is bad or unknown, and gets no more requests.
	RollBack
)

// String returns the action in log lines and metrics.
func (a Action) String() string {
	return [...]string{"keep", "move", "complete", "rollback"}[a]
}

// Situation is what is known of a running roll-out.
type Situation struct {
	// Limit is the time from the order until which it must be completed or rolled back, Elapsed the time since the first
	// daemon learned of it.
	Limit, Elapsed time.Duration
	// IsMoving is true after the decision that the version is good, and MovingFor the time since then.
	IsMoving  bool
	MovingFor time.Duration
	// IsVetoed is true when a deciding daemon has found the version bad.
	IsVetoed bool
	// Total is what was counted since the order, and Recent over the last time.
	Total, Recent Evidence
	// Unmoved is the number of daemons that answer and may still send to other versions, or have exchanges in flight with
	// them. Unreachable is the number of daemons that do not answer, and Silent that of those among them that have not
	// answered for some time.
	Unmoved, Unreachable, Silent int
	// StateBound is the age up to which a daemon uses cached state, and Timeout the longest time of a request.
	StateBound, Timeout time.Duration
}

// Decide returns what to do, and why.
//
// The time limit is divided so that most of it is a test, since a version may turn bad late: the test lasts until just as
// much is left as the move takes, with the time that requests have taken so far. The counts are watched during the move,
// too, until nothing is left to do but the last write.
func Decide(s *Situation) (Action, string) {
	if s.IsVetoed {
		return RollBack, "a deciding daemon found the version bad"
	}
	if fault := s.fault(); fault != "" {
		return RollBack, fault
	}
	if s.IsMoving {
		return s.finish()
	}
	if s.Elapsed < s.TestTime() {
		return Keep, ""
	}
	if s.Total.Answers() == 0 {
		if s.Elapsed < s.Limit-learnTime-writeTime {
			return Keep, ""
		}
		return RollBack, "the version answered no request, so nothing is known of it"
	}
	if fault := s.Total.fault(finalDoubt, 1, true); fault != "" {
		return RollBack, fault
	}
	if s.Elapsed >= s.Limit {
		return RollBack, "the time limit has passed"
	}
	return Move, fmt.Sprintf("the version is as good as the others after %d answers", s.Total.Answers())
}

// fault returns why the version is bad by what has been counted so far.
func (s *Situation) fault() string {
	factor := 1.0
	if s.IsMoving {
		factor = movingFactor
	}
	if fault := s.Total.fault(runningDoubt, factor, false); fault != "" {
		return fault
	}
	return s.Recent.comparedWith(s.Total).fault(runningDoubt, factor, false)
}

// finish returns what to do with a roll-out whose version is good. It may be completed late, since its version is in use,
// but not any time later.
func (s *Situation) finish() (Action, string) {
	isWaiting := s.Unmoved > 0 || s.Unreachable > 0 && s.MovingFor < s.StateBound+s.Timeout
	switch {
	case isWaiting && s.Elapsed >= maxOverrun*s.Limit:
		return RollBack, "requests could not be moved to the version long after the time limit"
	case isWaiting:
		return Keep, ""
	default:
		return Complete, "nothing is in flight at the searchers of other versions"
	}
}

// TestTime returns how long after a daemon learned of the order the version is tested.
func (s *Situation) TestTime() time.Duration {
	finish := minFinishTime
	if slowest := s.Total.Slowest(); slowest >= 0 {
		finish = max(finish, min(s.Timeout, time.Duration(finishFactor*float64(latencyOf(slowest)))))
	}
	reserve := learnTime + moveTime + finish + writeTime
	if s.Silent > 0 {
		reserve = max(reserve, learnTime+s.StateBound+s.Timeout+writeTime)
	}
	return max(time.Duration(minTestShare*float64(s.Limit)), s.Limit-reserve)
}

// latencyOf returns the highest latency of a bucket.
func latencyOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(bucket)))
}
