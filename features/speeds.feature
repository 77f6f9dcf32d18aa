Feature: A router estimates the speed of each run of an upstream

  # Guards against a service-wide prefill rate that hides which upstreams are slow.
  Scenario: A third of the upstreams prefill 1.3 times slower, and times are noisy
    Given 30 upstreams of which every 3rd is 1.3 times slower
    When each of them prefills 4 times a second for 20 s, with noise of 0.3
    Then the estimates are between 0.65 and 0.9 at slow upstreams, between 0.85 and 1.2 at others

  # Guards against avoiding an upstream because of one disturbed request.
  Scenario: An estimate from one sample is pulled towards 1
    Given 1 upstreams of which none is slower
    When upstream 0 prefills once, 100 times slower than expected
    Then the speed of upstream 0 is between 0.75 and 0.9
    And 0 changes of a speed were logged

  Scenario: An estimate stays within its bounds for any times
    Then estimates from random samples are between 0.25 and 4

  # Guards against an upstream that is avoided for long after a short slow-down.
  Scenario: The effect of a slow-down of 2 s ends
    Given 1 upstreams of which none is slower
    When upstream 0 prefills 4 times a second for 10 s, at 1 times the expected time
    And upstream 0 prefills 4 times a second for 2 s, at 3 times the expected time
    Then the speed of upstream 0 is between 0.25 and 0.75
    When 30 s pass without requests
    Then the speed of upstream 0 is between 0.85 and 1.15
    When 60 s pass without requests
    Then nothing is kept of upstream 0

  # Guards against judging a new process by the one that had its id before.
  Scenario: A run that begins again under its id starts without samples
    Given 1 upstreams of which none is slower
    When upstream 0 prefills 4 times a second for 10 s, at 3 times the expected time
    Then the speed of upstream 0 is between 0.25 and 0.5
    When upstream 0 begins again under its id
    Then the speed of upstream 0 is between 1 and 1
    And nothing is kept of upstream 0
    When a request of the earlier run of upstream 0 has its first event
    Then nothing is kept of upstream 0

  # Guards against a speed that stays in force, as it was stored under another start time.
  Scenario: A run whose start time becomes known later starts without samples
    Given 1 upstreams of which none is slower
    When upstream 1 appears with an unknown start time
    And upstream 1 prefills 4 times a second for 10 s, at 3 times the expected time
    Then the speed of upstream 1 is between 0.25 and 0.5
    When the start time of upstream 1 becomes known
    Then nothing is kept of upstream 1

  # Guards against metrics of upstreams that no longer exist.
  Scenario: The metric of an upstream that is gone is removed
    Given 2 upstreams of which none is slower
    When upstream 0 prefills 4 times a second for 10 s, at 3 times the expected time
    And upstream 1 prefills 4 times a second for 10 s, at 1 times the expected time
    Then the metric shows a speed of upstreams 0 and 1
    When upstream 0 is gone
    Then the metric shows a speed of upstream 1 only

  # Guards against a log line for each small change of an estimate.
  Scenario: The log has one line when an estimate crosses a threshold
    Given 1 upstreams of which none is slower
    When upstream 0 prefills 4 times a second for 10 s, at 3 times the expected time
    Then 1 changes of a speed were logged, the last to "slow"
    When upstream 0 prefills 4 times a second for 60 s, at 1 times the expected time
    Then 2 changes of a speed were logged, the last to "usual"

  # Guards against a score that takes all upstreams of a service for equally fast.
  Scenario: Requests go to a faster upstream unless it has more to prefill
    Given 2 upstreams of which every 3rd is 1.3 times slower
    When each of them prefills 4 times a second for 20 s, with noise of 0
    Then a prompt of 4000 tokens goes to upstream 1 if 0 tokens wait at each
    And a prompt of 4000 tokens goes to upstream 1 if 500 more tokens wait there
    And a prompt of 4000 tokens goes to upstream 0 if 5000 more tokens wait at upstream 1

  # Guards against a change of placement where the setting is not used.
  Scenario: Without the setting there are no estimates
    Given 1 upstreams of which none is slower, and routers with speeds "off"
    When upstream 0 prefills 4 times a second for 10 s, at 3 times the expected time
    Then nothing is kept of upstream 0

  # Guards against estimates that stay in force after they were disabled.
  Scenario: Disabling the setting ends the estimates at once
    Given 1 upstreams of which none is slower, and routers with speeds "own"
    When upstream 0 prefills 4 times a second for 10 s, at 3 times the expected time
    Then the speed of upstream 0 is between 0.25 and 0.5
    When the setting becomes "off"
    Then nothing is kept of upstream 0

  Scenario: An invalid value of the setting is reported
    When these router settings are checked
      """
      [router]
      speeds = fast
      """
    Then these findings are reported
      | line | text                                              |
      | 2    | speeds = fast: must be one of off, own, shared    |

  Scenario: Operators see the estimates from the requests of a router
    Given a fleet of 2 routers with speeds "own"
    When 24 prompts of 2048 tokens are sent to one router
    Then "node show" prints a speed of an engine at that router
    And "node show" prints no speed at the other router
    And "node show" of an unknown router fails

  # Guards against samples that are counted twice, or not at all, on the way over heads.
  Scenario Outline: The samples of each router reach every other exactly once
    Given <count> routers that know each other's names
    When 5000 ms pass in the fleet
    And each router has a prefill at "u-1" that takes 3 times the expected time
    And 3000 ms pass in the fleet
    Then each router knows the samples of <count> routers at "u-1", all 3000 ms old

    Examples:
      | count |
      | 5     |
      | 40    |

  # Guards against a fleet in which one router of an older version spoils the others' estimates.
  Scenario Outline: A router that does not share its samples counts as having none
    Given <count> routers that know each other's names
    When one router has the speeds "own"
    And 5000 ms pass in the fleet
    And each router has a prefill at "u-1" that takes 3 times the expected time
    And 3000 ms pass in the fleet
    Then that router knows the samples of 1 router at "u-1"
    And the others know the samples of <others> routers at "u-1"

    Examples:
      | count | others |
      | 5     | 4      |
      | 40    | 39     |

  # Guards against estimates that are lost, or stay in force for long, while reports are missing.
  Scenario Outline: While reports are lost, own samples remain, and others' decay
    Given <count> routers that know each other's names
    When 5000 ms pass in the fleet
    And each router has a prefill at "u-1" that takes 3 times the expected time
    And 2000 ms pass in the fleet
    And all beacons are lost for 30000 ms, with a prefill a second at each router
    Then each router estimates the speed of "u-1" from 3 to 7 samples, as 0.4 to 0.6

    Examples:
      | count |
      | 5     |
      | 40    |

  # The simulated routers of a large fleet do not announce themselves again after a silence
  # in which they consider all others silent; the outage is therefore shorter.
  Scenario Outline: After reports were lost, the samples of all routers count again
    Given <count> routers that know each other's names
    When 5000 ms pass in the fleet
    And all beacons are lost for 1000 ms, with a prefill a second at each router
    Then each router estimates the speed of "u-1" from 0.5 to 1 samples, as 0.7 to 0.9
    When beacons arrive again for 5000 ms, with a prefill a second at each router
    Then each router estimates the speed of "u-1" from <least> to <most> samples, as 0.3 to 0.45

    Examples:
      | count | least | most |
      | 5     | 13    | 20   |
      | 40    | 90    | 160  |

  Scenario: With a tenth of the beacons lost, all routers have similar estimates
    Given 40 routers of which a tenth of the beacons is lost
    When 5000 ms pass in the fleet
    And beacons arrive again for 10000 ms, with a prefill a second at each router
    Then each router estimates the speed of "u-1" from 60 to 240 samples, as 0.3 to 0.45

  # Guards against beacons that grow with the number of upstreams.
  Scenario: Reports have a bounded size and contain the runs with most samples
    Given 300 upstreams of which none is slower, and routers with speeds "shared"
    When each of them prefills, the later ones more often
    Then a report of the router has 32 runs, those with most samples, in at most 1600 bytes
    And a report of a head has 128 runs, those with most samples, in at most 6400 bytes
    When 60 s pass without requests
    Then the report of the router is empty

  Scenario: Reports with malformed entries are read without these
    Then no malformed entry has an effect on an estimate

  # Guards against judging a new process by what peers report of the one before.
  Scenario: Reports on an earlier run do not count for the current one
    Given 1 upstreams of which none is slower, and routers with speeds "shared"
    When a peer reports 10 samples of 3 times the expected time for upstream 0
    Then the speed of upstream 0 is between 0.3 and 0.5
    When upstream 0 begins again under its id
    And 1 s pass without requests
    Then nothing is kept of upstream 0
    When a peer reports 10 samples of 3 times the expected time for the earlier run
    Then nothing is kept of upstream 0

  # Guards against a late report that keeps an upstream slow after it has recovered.
  Scenario: The effect of a report that is late ends as that of a sample does
    Given 1 upstreams of which none is slower, and routers with speeds "shared"
    When upstream 0 prefills 4 times a second for 10 s, at 1 times the expected time
    And a peer reports 10 samples of 3 times the expected time for upstream 0
    Then the speed of upstream 0 is between 0.6 and 0.8
    When upstream 0 prefills 4 times a second for 10 s, at 1 times the expected time
    Then the speed of upstream 0 is between 0.9 and 1.05

  # Guards against speeds that make placement worse, or that have no effect where
  # upstreams differ much.
  Scenario: In a model, a third of the upstreams is 2.5 times slower
    Then in the model the 95th percentile of the time to the first event is at most 0.85 of that without speeds if they are shared
