Feature: Large answers of the store are received on a slow link

  # Guards against a time-out on the whole of a large transfer: a configuration of
  # 0.46 MB, which takes 0.74 s on a link of 5 Mbit/s that callers' streams use too,
  # was abandoned while it arrived, and requested again. Each call ended 1.5 s after
  # its start, whatever had arrived; a value may have 1 MB, which takes 1.7 s on that
  # link alone. Only silence is to end a call, so an answer is complete as long as
  # each of its parts is in time, however many there are.
  Scenario Outline: An answer that arrives in parts is read to its end by one request
    Given a store whose answers arrive in 5 parts, 1000 ms apart
    When the router requests <what> with a time-out of 1500 ms
    Then the whole answer is received with a single request

    Examples:
      | what      |
      | a listing |
      | an object |
      | changes   |

  Scenario Outline: A call fails when its answer stops arriving
    Given a store whose answers stop after their first part
    When the router requests <what> with a time-out of 200 ms
    Then the call fails with the reason silent

    Examples:
      | what      |
      | a listing |
      | an object |
      | changes   |

  Scenario: A call fails when its answer never ends
    Given a store whose answers arrive in 500 parts, 1000 ms apart
    When the router requests a listing with a time-out of 1500 ms
    Then the call fails with the reason silent
    And the call fails after fewer than 50 parts

  Scenario Outline: A call with a short answer has a time-out for the whole answer
    Given a store whose answers arrive in 5 parts, 1000 ms apart
    When the router requests <what> with a time-out of 1500 ms
    Then the call fails with the reason silent
    And the call fails after fewer than 4 parts

    Examples:
      | what      |
      | a write   |
      | a removal |
      | an order  |

  # Guards against restarts of unrelated watches: five of six watchers ended the watch
  # that was receiving a configuration right after a peer had announced an upstream.
  # A peer's newer state ended every watch older than 2 s, of whatever kind, and
  # also one whose answer was arriving: silence was inferred from the age of the
  # watch, and from changes that it could not return.
  Scenario: A peer's newer upstreams do not restart a watch on the configuration
    Given a router that has watched the store for 3000 ms
    When a peer announces a newer state of the upstreams
    Then the router restarts the watch on the upstreams
    And the router has watched the configuration once

  # Guards against watches that stay silent after an outage: a request reached an
  # upstream 2.3 s after the store had recorded that it leaves, where 2 s are allowed,
  # and no router knew of that. The store had been silent for 5 s, until 3.3 s before.
  # Its answers to waiting watches were lost, and these waited on for 25 s, on
  # connections that were alive. Calls that fail and are then answered reveal an
  # outage; here the only sign of it is the answer to another call.
  Scenario: A watch that waited through an outage is restarted
    Given a router that has watched the store for 3000 ms
    When another call of the router fails and the next one is answered
    Then the router restarts the watch on the upstreams
    And the router restarts the watch on the configuration

  # A watcher may have no other calls to make, so that no call of its own ever fails.
  Scenario: A watch is restarted when a peer's calls fail
    Given a router that has watched the store for 3000 ms
    When a peer reports repeatedly that the store does not answer
    Then the router restarts the watch on the upstreams
    And the router restarts the watch on the configuration
    And the router has probed the store once

  # Not observed so far: a watch that is restarted while the store is silent also waits
  # without an answer.
  Scenario: A watch that was started in an outage is restarted after it
    Given a router that has watched the store for 600 ms
    When another call of the router fails and the next one is answered
    Then the router restarts the watch on the upstreams

  # The failed call is the only sign of the silence in which the watches waited, and
  # another call was answered after it was made.
  Scenario: A call that fails after a later one was answered still restarts the watches
    Given a router that has watched the store for 3000 ms
    When a call of the router is answered, and then an earlier one fails
    Then the router restarts the watch on the upstreams

  Scenario: A peer that the store rejects for long does not hide a later outage
    Given a router that has watched the store for 3000 ms
    When a second peer reports an outage after long reports by a first one
    Then the router has restarted the watch on the upstreams a second time

  Scenario: A watch that was just started is not restarted
    Given a router that has watched the store for 400 ms
    When another call of the router fails and the next one is answered
    Then the router has watched the upstreams once

  # Guards against a watch that was asked in a silence and stays deaf after it: the
  # recovery found it too young, and no later event followed.
  Scenario: A watch that was just started is restarted once it has been silent for long enough
    Given a router that has watched the store for 400 ms
    When another call of the router fails and the next one is answered
    And 200 ms pass on the router's clock
    Then the router restarts the watch on the upstreams

  Scenario: A peer's newer configuration restarts the watches on both its parts
    Given a router that has watched the store for 3000 ms
    When a peer announces a newer state of the configuration
    Then the router restarts the watch on the configuration
    And the router has watched the upstreams once

  Scenario: A watch whose answer is arriving is not restarted for a peer's newer state
    Given a watch whose answer arrives in two halves
    When the first half arrives 3000 ms after the start of the watch
    And a peer announces a newer state 500 ms later
    Then the watch continues
    When the second half arrives
    Then the changes have been received by the first watch

  Scenario: A watch whose answer has stopped is restarted for a peer's newer state
    Given a watch whose answer arrives in two halves
    When the first half arrives 3000 ms after the start of the watch
    And a peer announces a newer state 2000 ms later
    Then the changes have been received by a second watch

  # Guards against a suspected outage that never ends: engines that had left got new
  # work 3.0 s after their entries were removed. Two routers that watch nothing had one
  # call rejected, 1 and 36 s before, and made no more calls. All routers relied on
  # their reports of an outage and treated the removed entries as lapsed.
  Scenario: A router that does not watch detects that the store answers again
    Given a router that does not watch the store
    When a call of the router is rejected, and the store answers again
    Then the router detects the recovery by a probe

  # Guards against a start that takes the longer the larger the fleet: each router lists
  # the upstreams at once, 3,000 of them in seven pages, and a refused page began the
  # whole listing anew. Found by inspection of the code.
  Scenario: A page that is refused because of the rate is read again, not its whole listing
    Given a store with 3 pages, which refuses the second one 4 times because of its rate
    When the router lists the pages
    Then all 3 objects are listed with 7 calls
