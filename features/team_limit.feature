Feature: The limit of a team over all routers

  # Guards against buckets that fill faster than the limit: routers that had announced that
  # they leave were still heard, but no longer shared the limit. With three of eight, all
  # buckets filled at 8 / 5 of the rate, and 1.27 times of what is allowed ran in 8 s.
  Scenario: A team gets no more than its limit while routers leave
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When 3 of them announce that they leave
    And the team asks for 8 times its limit for 10 s
    Then no more tokens run in any 8 s than are allowed
    And at least 0.95 of its limit runs

  # The same fault, where nothing shows it: a team that asks for less than the buckets gained
  # was refused nothing, and got all that it asked for.
  Scenario: A team that asks for half as much again gets its limit while routers leave
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When 3 of them announce that they leave
    And the team asks for 1.55 times its limit for 10 s
    Then no more tokens run in any 8 s than are allowed
    And at least 0.95 of its limit runs

  # Guards against what routers admit while they do not know of each other: each used all that it
  # believed to be left, and the fill of the time that it had not heard of. With reports 1.0 to 2.3 s
  # old, 1.3 times of what is allowed ran in 8 s, and 2.4 times where 20 times the limit was asked.
  Scenario: A team gets no more than its limit while reports are late
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When beacons take 1000 to 1800 ms, and rounds are up to 500 ms late
    And the team asks for 8 times its limit for 12 s
    Then no more tokens run in any 8 s than are allowed
    And at least 0.95 of its limit runs
    When the team asks for nothing for 9 s
    And the team asks for 20 times its limit for 12 s
    Then no more tokens run in any 8 s than are allowed

  # The same fault where heads relay the reports, so that these pass three hops.
  Scenario: A team gets no more than its limit while reports are late in a large fleet
    Given 24 routers before a team with 600000 tokens a second and a burst of 1320000
    When beacons take 200 to 500 ms, and rounds are up to 200 ms late
    And the team asks for 8 times its limit for 11 s
    Then no more tokens run in any 8 s than are allowed

  # The same fault with reports on time: they pass three hops, and 58 routers each went by what they
  # believed to be left. The level fell by three seconds' worth.
  Scenario: A team gets no more than its limit when its load rises at once in a large fleet
    Given 58 routers before a team with 951745 tokens a second and a burst of 951745
    When beacons take 2 to 40 ms, and rounds are up to 100 ms late
    And the team asks for 8 times its limit for 9 s
    Then no more tokens run in any 8 s than are allowed
    And at least 0.95 of its limit runs

  # Guards against heads that lend what other heads do not know of: questions are answered at once,
  # so nothing but the confirmations between heads bounds what is lent.
  Scenario: A team gets no more than its limit while reports between heads are late
    Given 24 routers before a team with 600000 tokens a second and a burst of 600000
    When beacons between heads take 600 to 1000 ms
    And the team asks for 8 times its limit for 9 s
    Then no more tokens run in any 8 s than are allowed

  Scenario Outline: A team within its limit is refused nothing in a large fleet
    Given 58 routers before a team with <rate> tokens a second and a burst of <rate>
    When beacons take 2 to 40 ms, and rounds are up to 100 ms late
    And the team asks for 0.55 times its limit for 10 s
    Then no request is refused to the team

    Examples:
      | rate   |
      | 951745 |
      | 36000  |

  # What is admitted before peers know of it is limited; this must cost nothing within the limit.
  Scenario: A team within its limit is refused nothing while reports are late
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When beacons take 500 to 900 ms, and rounds are up to 300 ms late
    And the team asks for 0.55 times its limit for 20 s
    Then no request is refused to the team

  Scenario: A team that spends its burst at one router is refused nothing
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When all its callers use router 0
    And the team asks for 10 times its limit for 200 ms
    And the team asks for 0.9 times its limit for 10 s
    Then no request is refused to the team

  # Guards against a router that waits for confirmations for good: a peer that no longer hears it
  # is still heard, and confirms nothing.
  Scenario: A router that one peer no longer hears serves a team within its limit
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When beacons from router 0 to router 1 are lost
    And the team asks for 0.55 times its limit for 20 s
    Then no request is refused to the team

  Scenario: What is admitted is forgotten once peers know of it, at any size of the fleet
    Given 20 routers before a team with 199592 tokens a second and a burst of 441000
    When all its callers use router 0
    And the team asks for 0.55 times its limit for 5 s
    Then router 0 keeps at most 20 of over 100 admissions

  Scenario: A report that arrives after a newer one changes nothing
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When router 0 admits 2000 tokens, and router 1 gets its last two reports in reverse order
    Then router 1 has counted all that ran

  # Holds the inequality: what runs in 8 s is at most what is allowed, whatever is late, however
  # much is asked, while routers freeze, thaw, leave, are killed and start.
  Scenario: In random histories no more runs for a team than is allowed
    Then in 40 random histories of 25 steps no more runs in any 8 s than is allowed

  # The same, where heads of groups decide: they and members freeze, leave, are killed and start.
  Scenario: In random histories with groups no more runs for a team than is allowed
    Then in 12 random histories of 20 steps with groups no more runs in any 8 s than is allowed

  # Guards against a burst for each new name: a router that replaces another one under a new name
  # has no earlier run, so it took its part of the burst for unspent before it was told the level.
  Scenario: Routers under new names take no part of a burst that others may have spent
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When the team asks for 20 times its limit for 2 s
    And 6 of them are replaced under new names, and no beacon arrives
    And the team asks for 20 times its limit for 800 ms
    Then the new routers ran at most their part of 0.8 s and a request each

  # Guards against spending that nobody ever counts: the first report of a router was taken for
  # the baseline, so what it had admitted before its peers first heard of it was ignored.
  Scenario: What a new router admits before its peers hear of it counts
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    When the team asks for 2 times its limit for 3 s
    And router 100 starts, whose beacons take 900 ms
    And all its callers use router 100
    And the team asks for 8 times its limit for 700 ms
    And the team asks for nothing for 2 s
    Then router 1 has counted all that ran

  # The same fault in the limits that upstreams name: routers that remain took over the shares
  # of leaving ones at once, while these still used them.
  Scenario: An upstream gets no more than its limit while routers leave
    Given 8 routers before a team with 199592 tokens a second and a burst of 441000
    And an upstream that allows 10 requests a second
    When 3 of them announce that they leave
    And the upstream gets no request for 4 s, and then all that the routers allow
    Then at most 65 requests reach it in any 4 s

  # Guards against refusals that cannot be explained: they said what was left, but not how old
  # the reports were that this was based on.
  Scenario: A refusal says how old the reports are that it goes by
    Given 3 routers before a team with 1000 tokens a second and a burst of 12000
    When beacons to and from router 1 take 700 ms
    And the team asks for 8 times its limit for 3 s
    Then router 0 says that its reports are 1400 to 2000 ms old at router 1
    And router 1 says that its reports are 1400 to 2000 ms old
    When router 1 is killed
    And the team asks for 8 times its limit for 2 s
    Then router 0 says that its reports are 10 to 600 ms old at router 2
