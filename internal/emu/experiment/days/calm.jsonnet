// A day without troubles.
{ name: 'calm', day: { nodes: [11, 14], load: [0.4, 0.7] } }
