// A load for `petrelway load 127.0.0.1:PORT examples/load.jsonnet`: 200 triggers/s, a step to 300 and a surge.
{
  arrivals: {
    seconds: 20,
    rate: 200,
    steps: [{ at_s: 8, rate: 300 }],
    surges: [{ at_s: 14, len_s: 2, times: 2 }],
  },
  functions: { 'model-0': 3, 'model-1': 2, 'model-2': 1 },
  sizes: { mean_ms: 40, cv: 0.5 },
  attributes: { tariff: 'status', customer: 'north' },
  how: { processes: 2, open_bound: 5000, timeout_ms: 5000 },
}
