// The operators' target, in about two years. Where their letter leaves a figure open, the comment says so.
{
  fleet: {
    front_ends: 17000,
    regions: 9,
    zones: 35,
    rack_machines: 40,  // open in the letter: the rack that is measured
    policy_voters: 5,  // open: what a change of configuration may have (3, 5 or 7)
  },
  instances: {
    count: 1200000,
    // open: copies of 163 to 1,420 MB on machines of 7,552 and 10,240 MB, and of 1,458 to 10,272 MB on 77,248 MB
    // (docs/shape.md), are 9 to 13 of the mean size
    instances_a_machine: 12,
  },
  functions: {
    count: 520000,
    // open: an assumption that fits "most of them called less than once a minute"; the page shows the share
    exponent: 1.8,
    cut: 80,
    keep_s: 8.5,  // open: the longer of the two deployments' (docs/shape.md)
  },
  calls: { a_second: 1600000 },
  day: { configuration_changes: 13000, machines_failed: 90, machines_restarted: 3200 },
  budget: {
    control_core_share: 0.02,
    control_memory_mb: 32,
    control_kb_a_second: 11,
    control_machines: 28,
    cold_start_p99_s: 1.5,
    configuration_in_force_s: 6,
  },
}
