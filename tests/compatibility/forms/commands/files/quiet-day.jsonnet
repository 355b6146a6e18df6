// A day of a second, on which nothing happens.
(import '../examples/short-day.jsonnet') { day: { length_s: 1, seed: 7 }, troubles: [] }
