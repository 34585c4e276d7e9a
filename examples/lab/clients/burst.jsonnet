// Traffic jumps for some seconds.
(import 'callers.libsonnet') + { name: 'burst', day: { nodes: [11, 14], load: [0.6, 0.75], troubles: [{ kind: 'burst', at: [5, 30], 'for': [3, 9.3], factor: [1.3, 1.6] }] } }
