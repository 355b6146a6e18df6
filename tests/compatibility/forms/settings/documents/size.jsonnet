// Every key of a size; none has a default.
{
  fleet: { front_ends: 8, regions: 1, zones: 2, rack_machines: 4, policy_voters: 3 },
  instances: { count: 500, instances_a_machine: 10 },
  functions: { count: 1000, exponent: 1.5, cut: 10, keep_s: 8 },
  calls: { a_second: 1000 },
  day: { configuration_changes: 864, machines_failed: 12, machines_restarted: 280 },
  budget: {
    control_core_share: 0.02,
    control_memory_mb: 1,
    control_kb_a_second: 2,
    control_machines: 10,
    cold_start_p99_s: 1.5,
    configuration_in_force_s: 6,
  },
}
