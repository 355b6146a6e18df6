// Every key of a load file but the trace, none with its default.
{
  arrivals: {
    seconds: 20,
    rate: 200,
    even: true,
    steps: [{ at_s: 8, rate: 300 }],
    surges: [{ at_s: 14, len_s: 2, times: 2 }],
    seed: 3,
  },
  functions: { 'model-0': 3, 'model-1': 2 },
  sizes: { mean_ms: 40, cv: 0.5 },
  attributes: { tariff: 'status' },
  how: { processes: 2, open_bound: 5000, timeout_ms: 5000 },
}
