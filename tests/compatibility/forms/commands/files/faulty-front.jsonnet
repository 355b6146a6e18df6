// A port that lacks and a key that is unknown.
(import 'front.jsonnet') { listen: { prot: 1 } }
