// Clients ask for more than the fleet can do.
(import 'callers.libsonnet') + { name: 'overload', day: { nodes: [11, 14], load: [0.9, 1.1] } }
