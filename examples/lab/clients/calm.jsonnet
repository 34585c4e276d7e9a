// A calm day.
(import 'callers.libsonnet') + { name: 'calm', day: { nodes: [11, 14], load: [0.45, 0.65] } }
