package domain

// Thousandths converts a non-negative amount, as given in the settings and by the cloud, to
// thousandths and rounds it. Resources are counted in whole thousandths so that sums are exact.
func Thousandths(amount float64) int64 { return int64(amount*1000 + 0.5) }
