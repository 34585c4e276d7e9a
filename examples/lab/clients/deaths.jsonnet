// A fifth of the fleet dies at once, before nodes with the module and before nodes without any limit.
local callers = import 'callers.libsonnet';
local deaths = { nodes: [11, 14], load: [0.6, 0.75], troubles: [{ kind: 'crash', at: [10, 25], 'for': [5, 25], share: 0.2 }] };
{ name: 'deaths', day: deaths, seeds: 30, measure: ['goal', 'peak_runs', 'tries'],
  variants: callers.variants + [v + { name: v.name + ', no limit', policy: 'none' } for v in callers.variants] }
