package domain

// Thousandths turns an amount that isn't negative, as settings and the cloud give it, into
// thousandths: resources are counted in whole thousandths, so that sums are exact.
func Thousandths(amount float64) int64 { return int64(amount*1000 + 0.5) }
