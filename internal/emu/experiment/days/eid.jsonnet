// Eid in a minute: bursts, a deploy that was not put off, a crash in the middle of it, and clients that come again.
{ name: 'eid', day: { nodes: [11, 14], load: [0.6, 0.75], repeats: { share: 0.5, after: [2, 6], most: 2 },
    troubles: [{ kind: 'burst', at: [5, 12], 'for': [6, 12], factor: [1.3, 1.8] }, { kind: 'deploy', at: [10, 15], 'for': [25, 38], share: [0.6, 0.86] },
        { kind: 'crash', at: [18, 28], 'for': [5, 15], share: [0.1, 0.2] }, { kind: 'storm', at: [15, 25], 'for': [5, 15], share: 0.25 }] } }
