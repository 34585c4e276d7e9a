// Half of the fleet goes off the list and comes back, every two seconds.
(import 'callers.libsonnet') + { name: 'flap', day: { nodes: [11, 14], load: [0.5, 0.7], troubles: [{ kind: 'flap', at: [5, 15], 'for': [20, 30], share: [0.3, 0.6], factor: [1, 3] }] } }
