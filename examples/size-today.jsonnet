// The largest fleet that is played today: the standing test's (docs/standing.md). What it does not tell stands in
// the target's proportions, so that the two differ in size alone.
local target = import 'size-target.jsonnet';
local front_ends = 200;
local executors = 120;
local share = front_ends / target.fleet.front_ends;
target {
  fleet+: {
    front_ends: front_ends,
    regions: 1,  // no network between regions is played there
    zones: 3,  // open: as the trial's deployment on sockets
    policy_voters: 3,  // the least that a change of configuration may have
  },
  instances+: { count: executors * target.instances.instances_a_machine },
  functions+: { count: std.round(share * target.functions.count), cut: share * target.functions.cut },
  calls: { a_second: share * target.calls.a_second },
  day: { [name]: share * target.day[name] for name in std.objectFields(target.day) },
}
