// Real clients against real nodes for 25 s: a fifth dies, most are replaced. For lab clients.
{ name: 'clients', day: { nodes: 5, seconds: 25, load: 0.6, callers: [{ library: true, count: 4 }],
    troubles: [{ kind: 'crash', at: 6, 'for': 6, share: 0.2 }, { kind: 'deploy', at: 10, 'for': 8, share: 0.86 }] } }
