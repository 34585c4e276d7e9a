// Up to 22% of the fleet are 3.2 to 9 times slower.
(import 'callers.libsonnet') + { name: 'crawl', day: { nodes: [11, 14], load: [0.5, 0.7], troubles: [{ kind: 'crawl', at: [5, 20], 'for': [11, 32], share: [0.1, 0.22], factor: [3.2, 9] }] } }
