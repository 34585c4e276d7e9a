// The whole fleet starts cold.
(import 'callers.libsonnet') + { name: 'cold', day: { nodes: [11, 14], load: [0.5, 0.7], cold_fleet: true } }
