package config

import "brassglade/internal/tuning"

// storeLimits are limits of the state service.
type storeLimits struct {
	requestsPerSecond float64
	changesPerSecond  float64
	valueKB           float64
	transactionLimit  int // operations
}

// lowestLimits are the limits that hold now and will hold after they change: the smaller
// of both. Whatever is written within them may be written again later.
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

// lowerIfSet is the smaller of both, or the present one if the next isn't set.
func lowerIfSet[T int | float64](now, next T) T {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// controllers is the number of controllers of the group.
func (s *Settings) controllers() float64 { return float64(len(s.Members) + 1) }

// equalShare is the part of the published rates that one controller plans to use.
func (s *Settings) equalShare() float64 { return tuning.BudgetShare / s.controllers() }

// changeShare is the same for changes. Controllers don't need theirs at the same time:
// among many each may use more than an equal part, and a refusal by the state service,
// should they ever coincide, costs a short pause.
func (s *Settings) changeShare() float64 {
	return s.equalShare() * min(tuning.WriteOverlap, max(1, s.controllers()/tuning.WriteOverlapControllers))
}

// StoreRates are the requests and changes a second that this controller's client of the
// state service lets through. Any controller may become the leader, which makes more
// changes; the scheduler keeps the others below that.
func (s *Settings) StoreRates() (requestRate, changeRate float64) {
	lowest := s.lowestLimits()
	requestRate = lowest.requestsPerSecond * s.equalShare()
	changeRate = lowest.changesPerSecond * min(1, s.changeShare()*tuning.LeaderWeight)
	return requestRate, changeRate
}

// CloudRate is the requests a second that this controller's client of the cloud lets
// through. Only the leader uses the cloud, so that it isn't shared.
func (s *Settings) CloudRate() float64 {
	return s.Params.Cloud.RequestsPerSecond * tuning.BudgetShare
}
