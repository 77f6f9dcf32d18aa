Feature: In a large fleet members report to their head, and heads exchange sums

  Scenario: All routers of a large fleet consider each other alive with few beacons
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    Then each router considers all others alive
    And a router that is not a head sends at most 4 beacons a second

  Scenario: The number of beacons of a group member does not depend on the size of the fleet
    Then at 20, 80 and 330 routers a member sends and receives equally many beacons a second

  # Guards against messages that grow with the fleet's upstreams: at 300 routers before
  # 3,002 upstreams the busiest head sent 2.4 MB a second, each member's share of which
  # was the load of nearly all upstreams, although it spreads its requests over 128.
  Scenario: A member is told of the loads that matter for its placement
    Given a service of 3000 upstreams, each with work
    When a member's loads are selected
    Then they are those of the member's subset and of the 64 other upstreams with most to prefill
    Given a service of 100 upstreams, each with work
    When a member's loads are selected
    Then they are those of all upstreams

  Scenario: The counts of each router reach every other exactly once
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And each router admits 100 tokens, counts a request and has work at "u-1"
    And 3000 ms pass in the fleet
    Then at each router 4000 tokens of the team's limit are used
    And each router counts a usage of 40 requests
    And each router knows the load of all 40 routers at "u-1"
    And each router knows the demand at all routers

  Scenario: After a head is killed counts are missing but none is counted twice
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And each router admits 100 tokens, counts a request and has work at "u-1"
    And 3000 ms pass in the fleet
    And a head is killed
    And 4000 ms pass in the fleet
    Then each router considers all others alive
    And at each router 4000 tokens of the team's limit are used
    And each router counts a usage of at most 40 and at least 36 requests
    When each router admits 100 tokens, counts a request and has work at "u-1"
    And 3000 ms pass in the fleet
    Then at each router 7900 tokens of the team's limit are used

  # Guards against routers that consider live ones silent after a start: 1.5 s after
  # 195 routers had started at once, nearly each considered nearly all others silent
  # for up to a second. Callers were told of few routers, limits were refilled with a
  # small share, and all routers contended for the watches. A router announces itself
  # to all others only once, and reports of heads follow three rounds later, which
  # takes as long as the silence that is allowed.
  Scenario: In a large fleet whose routers start together none is considered silent
    Given 195 routers that have just started
    When each router runs a tick, and then announces itself to all others
    Then for 6000 ms of staggered rounds each router considers all others alive
    And no group has two heads

  Scenario: A router that ends is soon no longer named to callers
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a member is killed
    And 2750 ms pass in the fleet
    Then no router names that member to callers

  Scenario: A router that ends right after it sent a beacon is soon no longer named to callers
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a member announces a change and is killed
    And 2750 ms pass in the fleet
    Then no router names that member to callers

  # Guards against a burst of calls between routers: each upstream that was added or
  # removed caused 189 calls, 10,125 in 13 s, when beacons announced that there was a
  # change but did not contain it.
  Scenario: Changed upstreams are part of the beacon and need not be requested
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a watcher announces 3 new upstreams
    Then each other router knows the 3 upstreams, and none has requested them

  Scenario: A router that missed a beacon requests all missing upstreams
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a watcher announces 2 new upstreams, and one router misses the beacon
    And a watcher announces 1 new upstream
    Then the router that missed it knows 1 of the 3 upstreams and requests the rest

  Scenario: Changed upstreams that do not fit into a beacon are requested
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a watcher announces 13 new upstreams
    Then each other router knows 0 of the upstreams and requests them

  Scenario: A router is no longer named to callers once it announces that it is leaving
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a member announces that it is leaving
    Then no router names that member to callers

  # Guards against a group that falls silent in a planned stop: with routers stopped one
  # after the other, all of a group were considered silent for a second (1,401 log
  # lines in 2 s), because the successor waited until the ended head was silent.
  Scenario: A leaving head hands its group over to a successor before it ends
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a head announces that it is leaving, and ends 2000 ms later
    Then for 6000 ms of staggered rounds each router considers all others alive

  # Guards against requests that wait 100 ms for an answer that cannot come: a successor was
  # waiting for the router after itself, which does not decide, or for nobody.
  Scenario: The successor of a head that does not answer asks nobody else
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And the heads do not answer any more
    Then each successor asks only the head for the tokens of a request

  # Guards against a group that counts as silent while its head is under load: the head's
  # reports between rounds may overtake each of its beacons, which were then ignored.
  Scenario: A head is heard although its reports overtake its beacons
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And reports between heads overtake their beacons for 3000 ms
    Then no head misses the reports of another group

  # Guards against routers that are considered silent after their head is restarted
  # (2,514 log lines in 2 s): it was head again at once, and reported only the routers
  # whose beacons it had received by then, so all others were considered silent.
  Scenario: A restarted head does not report any router as silent
    Given 195 routers that know each other's names
    When 5000 ms pass in the fleet
    And a head announces that it is leaving, and ends 2000 ms later
    And the ended head is restarted 1000 ms later
    Then for 4000 ms of staggered rounds each other router considers all others alive

  # Guards against a round that overflows the queue of a link: after a start of 195
  # routers, two members of a group of 14 received no beacons for 9 s. One of them got
  # the duties and returned engines, since it knew of no demand. A round of 28 beacons
  # at once exceeds the queue of a link of 10 to 20 Mbit/s, and both members were last
  # in the order of the round, so that their beacons were lost in each round.
  Scenario: A head's round is sent in bursts of a few beacons
    Given a head that sends 28 beacons of 5000 bytes per round
    When the head sends the round
    Then at most 21500 bytes are sent at once, and 1440000 bytes in a second

  Scenario: Counts are kept when a fleet grows beyond the size for groups
    Given 16 routers that know each other's names
    When 3000 ms pass in the fleet
    And each router admits 100 tokens, counts a request and has work at "u-1"
    And 2000 ms pass in the fleet
    And 8 more routers join
    And 6000 ms pass in the fleet
    Then each router considers all others alive
    And each router counts a usage of at most 16 and at least 16 requests
    And each router knows the load of all 16 routers at "u-1"

  Scenario: Team limits hold under random beacon losses, router kills and starts
    Then in 20 random histories of 24 routers a team gets at most its limit and two bursts per router

  Scenario: A clock that jumps does not change the fleet's time
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And the time of day of a member jumps by 5000 ms
    And 2000 ms pass in the fleet
    Then all routers agree on the fleet's time

  Scenario: Counts that two heads report in turn are counted once
    Given a member that gets counts of 100 and then 200 from one head
    When the member gets counts of 1000 and then 1100 from another head
    And the member gets counts of 1200 and then 1250 from the first head
    Then the counted increments add up to 250

  # Guards against extra bursts by new routers: with a third of 58 routers killed and
  # restarted while a team requested six times its limit, the team got 5 % more than
  # limit, burst and tolerance. The suspected cause is a full bucket at each router
  # that starts. Here only that mechanism is tested: the burst is used up, then routers
  # join.
  Scenario: New routers do not add a burst of their own
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a team uses up its burst of 40000 tokens at a limit of 2000 a second
    And 12 more routers join with the same limit
    Then the team gets at most 30000 more tokens from the new routers within 1000 ms

  Scenario: New routers receive the levels of the limits from their peers
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And the limit is set to 2000 tokens a second with a burst of 40000
    And 12 more routers join with the same limit
    And 1000 ms pass in the fleet
    Then 3 requests of 12000 tokens are admitted by a new router

  Scenario: Tokens admitted before the level is received are deducted once
    Given 8 routers that know each other's names
    When 5000 ms pass in the fleet
    And a team uses up its burst of 40000 tokens at a limit of 2000 a second
    And a router is restarted and admits 400 tokens before it receives the level of the limit
    And 1000 ms pass in the fleet
    Then the restarted router's level of the limit is at most 100 below another router's

  Scenario: A router also receives the levels of limits that are configured later
    Given 8 routers that know each other's names
    When 5000 ms pass in the fleet
    And a team uses up its burst of 40000 tokens at a limit of 2000 a second
    And a router is restarted without a limit
    And 6000 ms pass in the fleet
    And the same limit is set at that router
    And 750 ms pass in the fleet
    Then the restarted router's level of the limit is at most 1000 above another router's

  Scenario: A fleet whose routers start together gives a team a single burst
    Given 40 routers that have just started
    When the limit is set to 2000 tokens a second with a burst of 40000
    Then the team gets at most 60000 tokens from all routers within 1000 ms

  Scenario: New routers do not get a full retry budget each
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And 12 more routers join with the same limit
    Then the new routers may send at most 12 retries before they receive a beacon

  Scenario: A fleet whose routers start together keeps to the limit afterwards
    Given 40 routers that have just started
    When the limit is set to 2000 tokens a second with a burst of 4000
    Then at most 22000 tokens are admitted in 8000 ms, if 8000 a second are requested evenly at all routers

  # Guards against a burst of a team for each run of its routers: with all routers killed
  # three times in 6 s, none of them knew what had been spent, and a team got more than
  # its limit and a tenth.
  Scenario: A fleet whose routers are all restarted gives a team no further burst
    Given 6 routers that know each other's names
    When the limit is set to 2000 tokens a second with a burst of 40000
    Then at most 61600 tokens are admitted in 8 s in which all routers are restarted every 2000 ms, if 20000 a second are requested

  # Guards against refusals within the limit after a start: in the 2.5 s after all of
  # 195 routers had lost power, 875 requests were refused for team limits that were all
  # unused. Until a router is told the levels it keeps to its 195th of a limit, which
  # is less than one request. Tested with teams that request a usual amount, and many
  # times their limit, from a fleet that has just started.
  Scenario: A large fleet whose routers start together admits requests within the limit
    Given 195 routers that have just started
    When each router runs a tick, and then announces itself to all others
    And the limit is set to 110000 tokens a second with a burst of 110000
    Then at most 20 in 100 requests are refused in 2000 ms, if 61000 tokens a second are requested, 6000 at a time

  Scenario: All heads together lend no more tokens than the limit
    Given 195 routers that have just started
    When each router runs a tick, and then announces itself to all others
    And the limit is set to 110000 tokens a second with a burst of 110000
    Then at most 378000 tokens are admitted in 2000 ms, if 880000 a second are requested, 6000 at a time

  Scenario: A team over its limit at a starting fleet still gets its limit
    Given 195 routers that have just started
    When each router runs a tick, and then announces itself to all others
    And the limit is set to 110000 tokens a second with a burst of 110000
    Then at most 1089000 tokens are admitted in 8000 ms, if 388000 a second are requested, 6000 at a time

  Scenario: Members of an unreachable head refuse requests over their own share
    Given 195 routers that have just started
    When each router runs a tick, and then announces itself to all others
    And the limit is set to 110000 tokens a second with a burst of 110000
    And the heads receive no requests for tokens
    Then at most 110000 tokens are admitted in 1000 ms, if 61000 a second are requested, 6000 at a time

  Scenario: A small fleet whose routers start together gives a team a single burst
    Given 12 routers that have just started
    When the limit is set to 2000 tokens a second with a burst of 40000
    And each router admits its share before any beacon arrives
    Then at most 66000 tokens have been admitted 4000 ms later

  Scenario: New routers keep to their share before their first tick
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And the limit is set to 2000 tokens a second with a burst of 40000
    And 12 more routers join with the same limit
    Then the new routers admit at most 40000 tokens at once, in requests of 100

  Scenario: New routers keep to their share with long requests
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And the limit is set to 2000 tokens a second with a burst of 40000
    And 12 more routers join with the same limit
    Then the new routers admit at most 40000 tokens at once, in requests of 20000

  # Guards against overshoot when spends are known late: a team that requested six times
  # its limit at 58 routers got a fifth more than rate and burst allow in 8 s. All
  # routers knew the spends of the others 1.5 s late and each used the whole remaining
  # level, which fell by several seconds' worth at a time. Tested with random requests
  # of a fortieth of the burst.
  Scenario: A team that requests many times its limit gets its limit
    Given 58 routers that know each other's names
    When 5000 ms pass in the fleet
    And the limit is set to 338000 tokens a second with a burst of 338000
    Then at most 3346200 tokens are admitted in any 8 s, if 2028000 a second are requested, 9000 at a time
    And the team gets at least its limit over the whole time

  # Guards against overshoot when heads are killed: a team that requested many times its
  # limit at 58 routers got a fourth more than rate and burst allow in 8 s, with a
  # third of the routers killed, heads among them. Their members received no spends of
  # others for 2 s, and no router received theirs; all of these buckets refilled as if
  # nothing was spent. The next head reports only what is counted from then on, so the
  # gap has to be estimated.
  Scenario: A team gets no more than its limit while heads are killed
    Given 58 routers that know each other's names
    When 5000 ms pass in the fleet
    And the limit is set to 338000 tokens a second with a burst of 338000
    And 3 heads and 14 members are killed after 3000 ms and restarted 3000 ms later
    Then at most 3346200 tokens are admitted in any 8 s, if 2028000 a second are requested, 9000 at a time

  Scenario: A team that requests half of its limit is not refused while heads are killed
    Given 58 routers that know each other's names
    When 5000 ms pass in the fleet
    And the limit is set to 338000 tokens a second with a burst of 338000
    And 3 heads and 14 members are killed after 3000 ms and restarted 3000 ms later
    Then no request is refused, if 169000 tokens a second are requested, 9000 at a time

  # A head whose beacons were lost for a moment then reports all spends of that time:
  # the estimate of these spends must not be deducted from the limit as well.
  Scenario: Estimates made during a silence are reversed after it
    Given 58 routers that know each other's names
    When 5000 ms pass in the fleet
    And a team uses up its burst of 40000 tokens at a limit of 2000 a second
    And no beacon arrives for 1000 ms
    Then each router's level of the limit has risen by at most 600 tokens
    When 1000 ms pass in the fleet
    Then each router's level of the limit has risen by 3990 to 4010 tokens

  Scenario: Spends in a gap of the reports to a head are estimated for its members as well
    Given 58 routers that know each other's names
    When 5000 ms pass in the fleet
    And a team uses up its burst of 40000 tokens at a limit of 2000 a second
    And no head receives beacons from other heads for 2000 ms
    Then each router's level of the limit has risen by at most 2000 tokens

  Scenario: Spends before the first report of another head are estimated
    Given one head reports on half of a fleet, with a limit of 2000 tokens a second
    And a level of the limit of 0 with a burst of 4000 tokens
    When another head reports 500 ms later
    Then 500 tokens are estimated as spent
    When the same head reports 500 ms later
    Then 0 tokens are estimated as spent

  Scenario: No spends are estimated for a time in which the limit was unused
    Given one head reports on half of a fleet, with a limit of 2000 tokens a second
    And a full level of the limit with a burst of 4000 tokens
    When another head reports 500 ms later
    Then 0 tokens are estimated as spent

  Scenario: A request that has crashed three upstreams is refused in all groups
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And the same request crashes an upstream at a member of each of three groups
    And 2500 ms pass in the fleet
    Then each of the 40 routers refuses the request
    When 20 more routers join
    And 2500 ms pass in the fleet
    Then each of the 60 routers refuses the request

  Scenario: An upstream limit that one router reads is split between the routers of all groups
    Given 40 routers that know each other's names
    When 5000 ms pass in the fleet
    And a member reads a limit of 1 request a second from an upstream
    And 2500 ms pass in the fleet
    Then each of the 40 routers knows the limit
    And the routers' shares add up to 1 request a second and a burst of 5
