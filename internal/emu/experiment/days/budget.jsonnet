// The storm, with callers that heed nothing but have a budget of retries of a tenth and pause before them.
local caller(choice) = { choice: choice, tries: 0, heeds: false, budget: 0.1, pause_ms: 50 };
{ name: 'budget', day: { nodes: [11, 14], load: [0.8, 1.0], callers: [caller('round'), caller('least'), caller('fastest'), caller('by_key')],
    troubles: [{ kind: 'deploy', at: [5, 15], 'for': [25, 38], share: [0.6, 0.86] }] } }
