// Up to a fifth of the nodes dies at once and comes back cold.
{ name: 'crash', day: { nodes: [11, 14], load: [0.55, 0.75],
    troubles: [{ kind: 'crash', at: [10, 30], 'for': [5, 25], share: [0.1, 0.2] }] } }
