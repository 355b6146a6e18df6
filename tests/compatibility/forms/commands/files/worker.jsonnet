// Every key of a worker's file, none with its default.
{
  worker: { name: 'worker-1', machine: 'quad' },
  listen: { port: 9000, address: '127.0.0.2' },
  store: { port: 9001, address: '127.0.0.3', timeout_ms: 9000, silence_ms: 2000 },
  memory: { budget_mb: 4000, measure_ms: 250 },
  loads: { at_once: 2, line: 32, patience_ms: 20000, start_timeout_ms: 15000, recheck_ms: 0 },
  calls: { slots: 32, queue: 128, stop_grace_ms: 500 },
  copies: { keep_ms: 5000, more: false, answers_miss: true },
  images: { folder: 'images', bound_mb: 2000 },
  stamped: [{ tariff: 'mark', window_ms: 4000 }],
  log: { level: 'error', form: 'console', file: 'worker.log' },
}
