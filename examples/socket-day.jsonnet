// Trouble on the sockets themselves: executors that read nothing, vanish, cut frames, drip bytes and send garbage,
// a roster that loses a change and goes away, a front end that stands still.
local tariffs = [
  { name: 'status', effect: 'harmless', quoted_ms: 1000, outer_ms: 3000, late_share: 0.2 },
  { name: 'mark', effect: 'stamped', scope: 'hall', window_ms: 4000, quoted_ms: 1000, outer_ms: 3000 },
  { name: 'charge', effect: 'one-shot', quoted_ms: 1000, outer_ms: 3000 },
];
{
  day: { length_s: 20, seed: 7 },
  fleet: {
    halls: ['a', 'b', 'c'],
    executors: 9,
    fronts: 3,
    kinds: [
      { name: 'quad', share: 0.6, cores: 4, speed: [1.2, 1.6] },
      { name: 'tri', share: 0.4, cores: 3, speed: [0.8, 1.1] },
    ],
    cold_share: 0.3,
    warm_ms: 8000,
    load_fail: 0.01,
    error_rate: 0.001,
  },
  functions: { count: 40, zipf: 1.1, load_ms: [300, 800] },
  tariffs: tariffs,
  customers: [{ name: 'north', portion: 0.6, rate: 50 }, { name: 'south', portion: 0.4, rate: 30 }],
  traffic: {
    rate: 80,
    shares: { status: 0.6, mark: 0.25, charge: 0.15 },
    work: { [t.name]: { mean_ms: 120, cv: 0.6 } for t in tariffs },
    retries: 1,
    impatient: 0.01,
  },
  permits: { transmissions: 4, longest_retry_ms: 500 },
  keeping: { least_keep_ms: 8000, order_timeout_ms: 8000 },
  cold: { multiple: 4, span_ms: 1500, start_share: 0.2, warm_ms: 12000 },
  troubles: [
    { kind: 'never_read', at_s: 3, len_s: 5, on: [0] },
    { kind: 'half_open', at_s: 5, len_s: 5, on: [1] },
    { kind: 'reset_mid_frame', at_s: 4, len_s: 8, size: 0.1, on: [2, 3] },
    { kind: 'one_byte', at_s: 4, len_s: 10, on: [4, 5] },
    { kind: 'garbage', at_s: 9, len_s: 6, size: 0.05, on: [6, 7] },
    { kind: 'roster_gap', at_s: 6 },
    { kind: 'deploy', at_s: 7, len_s: 6, part: 0.3, size: 0.12, extra: 2 },
    { kind: 'roster_down', at_s: 10, len_s: 3 },
    { kind: 'balancer_stall', at_s: 12, len_s: 5, size: 600, extra: 1.5, on: [0] },
  ],
}
