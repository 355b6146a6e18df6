{
  tariffs: [
    { name: 'quick', effect: 'one-shot', quoted_ms: 100, outer_ms: 400 },
    {
      name: 'sure', effect: 'stamped', quoted_ms: 1000, outer_ms: 4000, scope: 'cell',
      window_ms: 30000, worth: 1.5, late_share: 0.5,
    },
    { name: 'new', effect: 'harmless', quoted_ms: 100, outer_ms: 300 },
  ],
  customers: [{ name: 'north', portion: 0.25, rate: 5 }, { name: 'south', portion: 0.25, rate: 20 }],
  permits: { transmissions: 2, second_copies: false, withdraw: false, longest_retry_ms: 500 },
  functions: [
    { name: 'station-*', memory_mb: 96, lanes: 3 },
    { name: 'station-1', memory_mb: 128, lanes: 2, load_ms: 200 },
  ],
  adoption: { silent: 'stop' },
}
