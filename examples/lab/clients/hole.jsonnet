// Some nodes fail at once whatever reaches them: least-loaded choices fall into them.
(import 'callers.libsonnet') + { name: 'hole', day: { nodes: [11, 14], load: [0.5, 0.7], troubles: [{ kind: 'hole', at: [5, 20], 'for': [10, 25], share: [0.1, 0.2] }] } }
