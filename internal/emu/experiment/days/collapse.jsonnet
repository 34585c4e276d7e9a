// A short burst upon a fleet with room to spare, callers that try without limit, clients that come again: does it end?
local caller(choice) = { choice: choice, tries: 0, heeds: false };
{ name: 'collapse', seeds: 10,
  day: { nodes: [11, 14], seconds: 130, load: [0.6, 0.75], repeats: { share: 0.9, after: [0.5, 3], most: 4 },
    callers: [caller('round'), caller('least'), caller('fastest'), caller('by_key')],
    troubles: [{ kind: 'burst', at: 20, 'for': [5, 12], factor: [1.8, 2.5] }] },
  variants: [{ policy: 'module' }, { policy: 'none' }, { policy: 'fixed' }, { policy: 'codel' }, { policy: 'aimd' }, { policy: 'gradient2' }, { policy: 'vegas' }] }
