// Every key of an experiment, none with its default.
{
  base: import '../../../../../examples/short-day.jsonnet',
  axes: {
    rate: { path: 'traffic.rate', low: 40, high: 80, log: true },
    fronts: { path: 'fleet.fronts', values: [2, 3] },
    trouble: { sets: { quiet: { troubles: [] }, slow: { 'traffic.rate': 30 } } },
  },
  policies: ['random', 'petrelway'],
  seeds: 2,
  sample: 4,
}
