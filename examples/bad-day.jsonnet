// The bad day: 12 executors in 3 halls, 3 front ends, 120 triggers/s for 60 s. A rolling deploy, a mass release, a
// hall lost with its front end killed, and silent executors, all overlapping.
local tariffs = [
  { name: 'status', effect: 'harmless', quoted_ms: 1000, outer_ms: 3000, late_share: 0.2 },
  { name: 'mark', effect: 'stamped', scope: 'hall', window_ms: 4000, quoted_ms: 1500, outer_ms: 4000 },
  { name: 'charge', effect: 'one-shot', quoted_ms: 1500, outer_ms: 4000 },
];
{
  day: { length_s: 60, seed: 1 },
  fleet: {
    halls: ['a', 'b', 'c'],
    executors: 12,
    fronts: 3,
    kinds: [
      { name: 'quad', share: 0.55, cores: 4, speed: [1.3, 1.7], memory_mb: 6000 },
      { name: 'tri', share: 0.45, cores: 3, speed: [0.85, 1.1], memory_mb: 5000 },
    ],
    loads_at_once: 4,
    keep_ms: 12000,
    cold_share: 0.3,
    warm_ms: 10000,
    load_fail: 0.01,
    error_rate: 0.001,
  },
  functions: { count: 60, zipf: 1.15, memory_mb: [220, 580], load_ms: [420, 1100], fetch_share: 0.7 },
  store: { takes: 10, limit: 60, thrash: 0.2 },
  tariffs: tariffs,
  customers: [{ name: 'north', portion: 0.5, rate: 60 }, { name: 'south', portion: 0.3, rate: 36 },
              { name: 'west', portion: 0.2, rate: 24 }],
  traffic: {
    rate: 120,
    shares: { status: 0.6, mark: 0.25, charge: 0.15 },
    work: { [t.name]: { mean_ms: 150, cv: 0.7, io_ms: 10 } for t in tariffs },
    retries: 2,
    backoff_ms: 80,
    impatient: 0.01,
  },
  permits: { transmissions: 5, longest_retry_ms: 500 },
  keeping: { least_keep_ms: 10000, order_timeout_ms: 10000 },
  cold: { multiple: 4, span_ms: 1500, start_share: 0.2, warm_ms: 15000 },
  troubles: [
    { kind: 'deploy', at_s: 8, len_s: 24, part: 0.75, size: 0.15, extra: 3 },
    { kind: 'flush', at_s: 16, size: 0.6 },
    { kind: 'zone_loss', at_s: 22, len_s: 14, size: 0.9, which: 1 },
    { kind: 'hang', at_s: 26, len_s: 12, part: 0.12 },
  ],
}
