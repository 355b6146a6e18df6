// Real workers: processes that fetch packages, run calls and die. Silent ones, a deploy, a slow store, a hall killed
// mid-call, overlapping.
local tariffs = [
  { name: 'status', effect: 'harmless', quoted_ms: 1500, outer_ms: 4000, late_share: 0.2 },
  { name: 'mark', effect: 'stamped', scope: 'all', window_ms: 6000, quoted_ms: 1500, outer_ms: 4000 },
  { name: 'charge', effect: 'one-shot', quoted_ms: 1500, outer_ms: 4000 },
];
{
  day: { length_s: 30, seed: 5, grace_ms: 300, slack_ms: 200 },
  fleet: {
    workers: true,
    halls: ['a', 'b', 'c'],
    executors: 6,
    fronts: 2,
    kinds: [{ name: 'box', share: 1, cores: 4, memory_mb: 400, slots_per_core: 8 }],
    loads_at_once: 3,
    keep_ms: 10000,
    cold_share: 1,
  },
  functions: { count: 16, zipf: 1.0, memory_mb: [40, 40], load_ms: [300, 500], fetch_share: 0.7 },
  store: { takes: 8, limit: 60, thrash: 0.1 },
  tariffs: tariffs,
  customers: [{ name: 'north', portion: 1, rate: 50 }],
  traffic: {
    rate: 50,
    shares: { status: 0.6, mark: 0.25, charge: 0.15 },
    work: { [t.name]: { mean_ms: 60, cv: 0.5 } for t in tariffs },
    retries: 1,
    impatient: 0.01,
  },
  permits: { transmissions: 4, longest_retry_ms: 500 },
  keeping: { least_keep_ms: 10000, order_timeout_ms: 10000 },
  cold: { multiple: 6, span_ms: 1500, start_share: 0.2, warm_ms: 10000 },
  troubles: [
    { kind: 'deploy', at_s: 5, len_s: 10, part: 0.5, size: 0.17, extra: 2 },
    { kind: 'origin_slow', at_s: 8, len_s: 10, size: 4 },
    { kind: 'hang', at_s: 12, len_s: 5, part: 0.17 },
    { kind: 'zone_loss', at_s: 18, len_s: 6, size: 0.1, which: 1 },
  ],
}
