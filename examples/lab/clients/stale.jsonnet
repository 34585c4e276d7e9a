// The list is ten seconds old, while a fifth dies and most of the fleet is replaced.
(import 'callers.libsonnet') + { name: 'stale', day: { nodes: [11, 14], load: [0.5, 0.7], list_lag: 10,
    troubles: [{ kind: 'crash', at: [5, 15], 'for': [5, 25], share: 0.2 }, { kind: 'deploy', at: [15, 25], 'for': [20, 30], share: [0.6, 0.86] }] } }
