// A rolling deploy of most of the fleet.
(import 'callers.libsonnet') + { name: 'deploy', day: { nodes: [11, 14], load: [0.5, 0.7], troubles: [{ kind: 'deploy', at: [5, 15], 'for': [25, 38], share: [0.6, 0.86] }] } }
