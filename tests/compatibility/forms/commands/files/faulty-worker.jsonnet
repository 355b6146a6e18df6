// A slot that is no number.
(import 'worker.jsonnet') { calls: { slots: 'many' } }
