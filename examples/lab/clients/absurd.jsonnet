// Some nodes tell a credit of a thousand million, and refuse with advice of a day.
(import 'callers.libsonnet') + { name: 'absurd', day: { nodes: [11, 14], load: [0.8, 1.0], troubles: [{ kind: 'absurd', at: [5, 15], 'for': [10, 30], share: [0.2, 0.4], factor: 1e9 }] } }
