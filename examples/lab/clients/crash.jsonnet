// A fifth of the fleet dies at once and comes back cold.
(import 'callers.libsonnet') + { name: 'crash', day: { nodes: [11, 14], load: [0.6, 0.75], troubles: [{ kind: 'crash', at: [10, 25], 'for': [5, 25], share: 0.2 }] } }
