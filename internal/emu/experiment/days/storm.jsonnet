// Callers that heed nothing and try without limit, during a deploy, at high load.
local caller(choice) = { choice: choice, tries: 0, heeds: false };
{ name: 'storm', day: { nodes: [11, 14], load: [0.8, 1.0], callers: [caller('round'), caller('least'), caller('fastest'), caller('by_key')],
    troubles: [{ kind: 'deploy', at: [5, 15], 'for': [25, 38], share: [0.6, 0.86] }] } }
