// A crawl while all callers choose by the lowest latency that they saw.
local callers = [{ choice: 'fastest', tries: 0, wait: 0.6 }, { choice: 'fastest' }, { choice: 'fastest', tries: 2 },
    { choice: 'fastest', tries: 0, heeds: false }];
{ name: 'fastest', day: { nodes: [11, 14], load: [0.5, 0.7], callers: callers,
    troubles: [{ kind: 'crawl', at: [5, 25], 'for': [11, 32], share: [0.1, 0.22], factor: [3.2, 9] }] } }
