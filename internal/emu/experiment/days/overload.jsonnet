// Clients ask for about what all cores can do, or more.
{ name: 'overload', day: { nodes: [11, 14], load: [0.9, 1.1] } }
