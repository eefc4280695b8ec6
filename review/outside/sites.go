package outside

import "time"

// erable is the machine type of the Laurentides deployment.
const erable = "erable"

// Laurentides returns the deployment of the site file laurentides-topup: its settings, machine types
// and capacity.
func Laurentides() (Site, []Flavor, map[Kind]int) {
	zones := []string{"montreal-est", "laval-nord", "quebec-ville"}
	site := Site{
		Zones: zones, AllZones: zones,
		Teams: []Team{
			{Name: "fraude", GPUs: 16, GPUsMax: 60}, {Name: "reseau", GPUs: 24, GPUsMax: 56}, {Name: "tresorerie", GPUs: 32, GPUsMax: 72},
			{Name: "soutien", GPUs: 48, GPUsMax: 168}, {Name: "plateforme", GPUs: 40, GPUsMax: 136},
		},
		Objectives: []map[string]any{
			{"kind": "wait", "class": "pinguard", "within_s": 120.0, "share": 0.65},
			{"kind": "finished", "class": "pinguard", "within_s": 350.0, "share": 0.9},
			{"kind": "finished", "class": "voucherscore", "within_s": 150.0, "share": 0.88},
			{"kind": "finished", "class": "voucherscore", "within_s": 300.0, "share": 0.96},
			{"kind": "guarantee", "within_s": 15.0, "share": 0.9},
		},
		Workers: map[string]float64{"report_s": 3, "lease_s": 26, "gang_wait_s": 40, "gang_peer_s": 4, "cancel_s": 51},
		State:   StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8}, CloudRPS: 5, ListLagS: 6,
		CPU: 0.24, RAM: 234, Connections: 2500, SkewMS: 1000,
	}
	flavors := []Flavor{{
		Name: erable, Cores: 64, Cards: 8, MemGb: 256, CacheGb: 150, PullGbPerS: 0.25, Hourly: 27.6, SpotPrice: 12.1, BootS: 25, Yards: zones,
	}}
	capacity := map[Kind]int{}
	for i, yard := range zones {
		capacity[Kind{erable, yard, false}] = []int{11, 12, 11}[i]
		capacity[Kind{erable, yard, true}] = []int{4, 3, 3}[i]
	}
	return site, flavors, capacity
}

// Sewers returns the deployment of the site file bystrzyca-sewers: its settings, machine types and
// capacity.
func Sewers() (Site, []Flavor, map[Kind]int) {
	zones := []string{"zabie-hall", "szczytna-hall"}
	site := Site{
		Zones: []string{zones[0], zones[1], zones[0]}, AllZones: zones,
		Teams: []Team{{Name: "kanalarze"}},
		Objectives: []map[string]any{
			{"kind": "finished", "class": "crawlframes", "within_s": 50.0, "share": 0.9},
			{"kind": "finished", "class": "crawlframes", "within_s": 100.0, "share": 0.99},
			{"kind": "wait", "class": "kanalmap", "within_s": 18.0, "share": 0.992},
		},
		Workers: map[string]float64{"report_s": 4, "lease_s": 18, "gang_wait_s": 40, "gang_peer_s": 4, "cancel_s": 43},
		State:   StateLimits{RPS: 100, WriteRPS: 25, ValueKB: 32, TxnOps: 16}, CloudRPS: 8, ListLagS: 8,
		CPU: 0.3, RAM: 125, Connections: 1800, SkewMS: 100,
	}
	flavors := []Flavor{
		{Name: "kolektor", Cores: 32, MemGb: 128, CacheGb: 30, PullGbPerS: 0.6, Hourly: 1.36, SpotPrice: 0.29, BootS: 50, Yards: zones},
		{Name: "przepompownia", Cores: 64, MemGb: 512, CacheGb: 30, PullGbPerS: 0.4, Hourly: 3.38, SpotPrice: 0.83, BootS: 25, Yards: zones},
	}
	capacity := map[Kind]int{
		{"kolektor", zones[0], false}: 120, {"kolektor", zones[0], true}: 120, {"kolektor", zones[1], false}: 200, {"kolektor", zones[1], true}: 200,
		{"przepompownia", zones[0], false}: 48, {"przepompownia", zones[0], true}: 55,
		{"przepompownia", zones[1], false}: 70, {"przepompownia", zones[1], true}: 80,
	}
	return site, flavors, capacity
}

// QuickBoot is the boot time of the stand-in's machines: "at times machines are up within a second
// or two".
const QuickBoot = 2 * time.Second
