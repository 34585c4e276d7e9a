// Processes of nodes stand still, others' clocks are wrong, while the ensemble is out.
{ name: 'stall', day: { nodes: [11, 14], load: [0.5, 0.7], session: 4,
    troubles: [{ kind: 'outage', at: [5, 10], 'for': [10, 30] }, { kind: 'stall', at: [12, 20], 'for': [0.5, 6], share: [0.1, 0.3] },
        { kind: 'clock', at: [25, 30], 'for': [10, 25], share: [0.1, 0.3], factor: [-500, 500] }] } }
