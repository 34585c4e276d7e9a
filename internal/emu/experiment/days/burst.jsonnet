// Three bursts, as at the hours of prayer.
local burst(at) = { kind: 'burst', at: at, 'for': [2.9, 9.3], factor: [1.3, 1.6] };
{ name: 'burst', day: { nodes: [11, 14], load: [0.6, 0.75], troubles: [burst([5, 12]), burst([20, 28]), burst([36, 48])] } }
