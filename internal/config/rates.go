package config

import "brassglade/internal/tuning"

// storeLimits are limits of the state service, shared by all controllers.
type storeLimits struct {
	requestsPerSecond float64
	changesPerSecond  float64
	valueKB           float64
	transactionLimit  int // operations in one transaction
}

// lowestLimits returns the smaller of the present and the next value of each limit. A value or
// transaction within them can be written again after the limits have changed.
func (s *Settings) lowestLimits() storeLimits {
	now := s.Params.State
	lowest := storeLimits{
		requestsPerSecond: now.RequestsPerSecond,
		changesPerSecond:  now.ChangesPerSecond,
		valueKB:           now.ValueKB,
		transactionLimit:  now.TransactionLimit,
	}
	next := now.Next
	if next == nil {
		return lowest
	}
	lowest.requestsPerSecond = lowerIfSet(lowest.requestsPerSecond, next.RequestsPerSecond)
	lowest.changesPerSecond = lowerIfSet(lowest.changesPerSecond, next.ChangesPerSecond)
	lowest.valueKB = lowerIfSet(lowest.valueKB, next.ValueKB)
	lowest.transactionLimit = lowerIfSet(lowest.transactionLimit, next.TransactionLimit)
	return lowest
}

// lowerIfSet returns the smaller of both values, or now if next isn't set (0).
func lowerIfSet[T int | float64](now, next T) T {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// controllers returns the number of controllers of the deployment, this one included.
func (s *Settings) controllers() float64 { return float64(len(s.Members) + 1) }

// equalShare returns the fraction of the published rates that one controller plans to use if
// all use the same.
func (s *Settings) equalShare() float64 { return tuning.BudgetShare / s.controllers() }

// changeShare returns the fraction of the published rate of changes that one controller plans
// to use. In a large deployment it is more than an equal share, since controllers rarely need
// theirs at the same time. If they do, the state service refuses some changes, which costs a
// short pause.
func (s *Settings) changeShare() float64 {
	return s.equalShare() * min(tuning.WriteOverlap, max(1, s.controllers()/tuning.WriteOverlapControllers))
}

// StoreRates returns the numbers of requests and changes a second that this controller's client
// of the state service admits. Any controller may become the leader, which makes more changes,
// so the rate of changes is the leader's; the scheduler of any other controller stays below it.
func (s *Settings) StoreRates() (requestRate, changeRate float64) {
	lowest := s.lowestLimits()
	requestRate = lowest.requestsPerSecond * s.equalShare()
	changeRate = lowest.changesPerSecond * min(1, s.changeShare()*tuning.LeaderWeight)
	return requestRate, changeRate
}

// CloudRate returns the number of requests a second that this controller's client of the cloud
// admits. The rate isn't divided among the controllers, since only the leader uses the cloud.
func (s *Settings) CloudRate() float64 {
	return s.Params.Cloud.RequestsPerSecond * tuning.BudgetShare
}
