package standin

// Laurentides returns options like those of the small deployment laurentides-topup: 3 controllers,
// values up to 4 KiB, 8 changes a transaction, 25 changes a second. Machines are up after a
// second (bootTime), and images are fetched faster than there.
func Laurentides() Options {
	zones := []string{"montreal-est", "laval-nord", "quebec-ville"}
	return Options{
		Zones: zones, Members: []string{"bracket-0", "bracket-1", "bracket-2"}, MemberZones: zones,
		Teams: []Team{
			{Name: "soutien", GPUGuarantee: 48, GPULimit: 168},
			{Name: "plateforme", GPUGuarantee: 40, GPULimit: 136},
		},
		Types: []MachineType{{
			Name: "erable", Cores: 64, Cards: 8, MemGB: 256, CacheGB: 150, FetchRate: 4, Price: 27.6, SpotPrice: 12.1,
			BootS: 25, Zones: zones,
		}},
		Capacity: 44,
		State:    StateLimits{Requests: 120, Changes: 25, ValueKB: 4, TxnOps: 8},
		CloudRPS: 5, ListLagS: 6, ReportS: 3, LeaseS: 26, CancelS: 51, GangWaitS: 40, GangPeerS: 4,
		RAM: 234, Connections: 2500,
	}
}
