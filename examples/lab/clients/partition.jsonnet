// Some nodes and some callers can't reach each other.
(import 'callers.libsonnet') + { name: 'partition', day: { nodes: [11, 14], load: [0.5, 0.7], troubles: [{ kind: 'partition', at: [10, 20], 'for': [10, 20], share: [0.2, 0.4], factor: 0.5 }] } }
