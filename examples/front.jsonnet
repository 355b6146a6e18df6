// One front end. petrelway check examples/front.jsonnet says whether it is good.
{
  front_end: { name: 'front-1', hall: 'a', number: 0, peers: 1 },
  listen: { port: 8080 },
  roster: { port: 8081 },
  fleet: { halls: ['a', 'b', 'c'], machines: ['quad', 'tri'] },
  tariffs: [
    { name: 'status', effect: 'harmless', quoted_ms: 1000, outer_ms: 3000, late_share: 0.2 },
    { name: 'mark', effect: 'stamped', scope: 'hall', window_ms: 4000, quoted_ms: 2000, outer_ms: 6000 },
  ],
  customers: [{ name: 'north', portion: 0.6, rate: 60 }, { name: 'south', portion: 0.4, rate: 40 }],
  functions: [
    { name: 'calibrate', memory_mb: 600, lanes: 4, load_ms: 700 },
    { name: 'station-*', memory_mb: 300, lanes: 4 },
  ],
  cold: { multiple: 4, span_ms: 1500, start_share: 0.2, warm_ms: 15000 },
  log: { form: 'console', level: 'info' },
}
