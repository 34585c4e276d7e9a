// The list loses all its nodes at once, as an ensemble does that lost its data, and has them back half a minute later.
(import 'callers.libsonnet') + { name: 'empty', day: { nodes: [11, 14], load: [0.5, 0.7], troubles: [{ kind: 'flap', at: [5, 15], 'for': [20, 30], share: 1, factor: 100 }] } }
