// Clients ask for far more than the fleet can do.
(import 'callers.libsonnet') + { name: 'deep', day: { nodes: [11, 14], load: [1.5, 2] } }
