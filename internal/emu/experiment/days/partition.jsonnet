// Some nodes can't be reached by most callers, and the network loses messages before.
{ name: 'partition', day: { nodes: [11, 14], load: [0.5, 0.7], session: 4,
    troubles: [{ kind: 'loss', at: [3, 8], 'for': [5, 10], share: [0.01, 0.05] },
        { kind: 'partition', at: [20, 30], 'for': [5, 15], share: [0.1, 0.3], factor: [0.5, 1] }] } }
