// An experiment: service against load and fleet, with and without a deploy, by policy.
local day = import 'bad-day.jsonnet';
local loads = [60, 90, 120, 150, 180, 240];
{
  base: day { day+: { length_s: 30 }, troubles: [] },
  axes: {
    'triggers a second': {
      sets: { [std.toString(r)]: { 'traffic.rate': r, 'customers.0.rate': r * 0.5, 'customers.1.rate': r * 0.3,
                                   'customers.2.rate': r * 0.2 } for r in loads },
    },
    trouble: {
      sets: { quiet: { troubles: [] },
              deploy: { troubles: [{ kind: 'deploy', at_s: 6, len_s: 16, part: 0.75, size: 0.15, extra: 3 }] } },
    },
  },
  policies: ['petrelway', 'least-loaded', 'random'],
  seeds: 5,
}
