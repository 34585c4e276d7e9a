// The whole fleet has just been restarted.
{ name: 'cold', day: { nodes: [11, 14], load: [0.5, 0.7], cold_fleet: true } }
