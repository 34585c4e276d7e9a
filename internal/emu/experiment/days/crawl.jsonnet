// Up to 22% of the nodes are 3.2 to 9 times slower for a while.
{ name: 'crawl', day: { nodes: [11, 14], load: [0.5, 0.7],
    troubles: [{ kind: 'crawl', at: [5, 25], 'for': [11, 32], share: [0.1, 0.22], factor: [3.2, 9] }] } }
