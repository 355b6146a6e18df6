{
  tariffs: [
    { name: 'quick', effect: 'harmless', quoted_ms: 200, outer_ms: 500 },
    {
      name: 'sure', effect: 'stamped', quoted_ms: 1000, outer_ms: 4000, scope: 'hall',
      window_ms: 60000, worth: 2.5, late_share: 0.25,
    },
    { name: 'old', effect: 'one-shot', quoted_ms: 100, outer_ms: 300 },
  ],
  customers: [{ name: 'north', portion: 0.5, rate: 10 }, { name: 'south', portion: 0.25 }],
  functions: [
    { name: 'station-1', memory_mb: 128, lanes: 2, load_ms: 300 },
    { name: 'station-*', memory_mb: 64, lanes: 1 },
  ],
}
