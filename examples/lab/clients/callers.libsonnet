// The ways to call that the client library is compared with: four callers of one kind each.
local four(habit) = { callers: [habit + { count: 4 }] };
{ seeds: 30, variants: [
    { name: 'library', policy: 'module', day: four({ library: true }) },
    { name: 'endless', policy: 'module', day: four({ choice: 'round', tries: 0, heeds: false }) },
    { name: 'no retry', policy: 'module', day: four({ choice: 'round', tries: 1, heeds: false }) },
    { name: 'round three', policy: 'module', day: four({ choice: 'round', tries: 3 }) },
    { name: 'least three', policy: 'module', day: four({ choice: 'least', tries: 3 }) },
], measure: ['goal', 'tries'] }
