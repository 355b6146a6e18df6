// Twelve front ends that know each other, and what comes between them: datagrams lost and late, a cut, one that stands
// still, seven killed at once while half of the executors have just been replaced, one that leaves and comes back.
local tariffs = [
  { name: 'status', effect: 'harmless', quoted_ms: 1000, outer_ms: 3000, late_share: 0.2 },
  { name: 'mark', effect: 'stamped', scope: 'hall', window_ms: 4000, quoted_ms: 1000, outer_ms: 3000 },
  { name: 'charge', effect: 'one-shot', quoted_ms: 1000, outer_ms: 3000 },
];
{
  day: { length_s: 40, seed: 7 },
  fleet: {
    halls: ['a', 'b', 'c'],
    executors: 9,
    fronts: 12,
    kinds: [
      { name: 'quad', share: 0.6, cores: 4, speed: [1.2, 1.6] },
      { name: 'tri', share: 0.4, cores: 3, speed: [0.8, 1.1] },
    ],
    cold_share: 0.3,
    warm_ms: 8000,
  },
  functions: { count: 30, zipf: 1.1, load_ms: [300, 800] },
  tariffs: tariffs,
  customers: [{ name: 'north', portion: 0.6, rate: 36 }, { name: 'south', portion: 0.4, rate: 24 }],
  traffic: {
    rate: 50,
    shares: { status: 0.6, mark: 0.25, charge: 0.15 },
    work: { [t.name]: { mean_ms: 120, cv: 0.6 } for t in tariffs },
    retries: 2,
  },
  permits: { transmissions: 4, longest_retry_ms: 500 },
  keeping: { least_keep_ms: 8000, order_timeout_ms: 8000 },
  cold: { multiple: 4, span_ms: 1500, start_share: 0.2, warm_ms: 12000 },
  troubles: [
    { kind: 'deploy', at_s: 24, len_s: 2, part: 0.5, size: 0.5, extra: 2 },
  ],
  fleet_troubles: [
    { kind: 'loss', at_s: 1, len_s: 8, size: 0.2 },
    { kind: 'delay', at_s: 1, len_s: 8, size: 100, extra: 50 },
    { kind: 'cut', at_s: 8, len_s: 8, on: [0, 1, 2, 3, 4] },
    { kind: 'stop', at_s: 10, len_s: 3, on: [11] },
    { kind: 'leave', at_s: 20, len_s: 3, on: [10] },
    { kind: 'kill', at_s: 26, len_s: 0, on: [0, 1, 2, 3, 4, 5, 6] },
  ],
}
