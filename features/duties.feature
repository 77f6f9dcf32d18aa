Feature: One router at a time reports usage and orders upstreams

  Scenario: Each usage window is reported once, with the requests to all routers
    Given a fleet of 3 routers with usage windows of 1 s
    When 30 requests are sent to all routers within a usage window
    Then the report of that usage window has 30 requests of "noor"
    And no two reports of the same usage window differ

  Scenario: The lease holder is killed between the reports of two usage windows
    Given a fleet of 3 routers with usage windows of 1 s
    When the lease holder is killed, and requests are sent
    Then the next usage reports have a higher fencing number
    And no two reports of the same usage window differ
    And no platform call carried an outdated fencing token

  # Guards against checking the lease before a wait for the store, and not again when a
  # report is sent. A holder that was cut off from the store checked its lease, waited
  # 2.7 s for the store, and then sent a report. The report arrived 150 ms after one of
  # the next holder, with a lower fencing number. In this scenario the store answers the
  # former holder only once another router holds the lease.
  Scenario: A lease holder that waited for the store sends nothing after its lease has ended
    Given a fleet of 3 routers with usage windows of 1 s
    When the store delays its answers to the lease holder until another router holds the lease
    Then the next usage reports have a higher fencing number
    And the former lease holder has received an answer from the store
    And no platform call carried an outdated fencing token

  Scenario: A platform call that timed out does not arrive later
    Given a platform that receives slowly and never answers
    When a usage report of 300000 bytes times out after 300 ms
    Then the platform never receives the whole usage report

  Scenario: The next holder sends the report that a killed holder has only stored
    Given a usage reporter that was killed after storing the counts of window 7
    When the next lease holder starts
    Then the next holder sends window 7 with the stored counts, and then window 8

  Scenario: A store write without an answer does not duplicate a report
    Given a usage reporter whose next write to the store gets no answer
    When two usage windows have ended
    Then each usage window was sent once, with the stored counts

  # Guards against two reports of one window with different counts: the store came back
  # from a copy without the record of the last report.
  Scenario: No window is reported with two counts over a return of the store
    Given a usage reporter that has sent window 10 before the store comes back without its record
    When late counts of that window arrive
    And the reporter goes on for 2 windows
    And its record is copied
    And the reporter goes on for 2 windows
    And the store comes back without its record
    And the next lease holder goes on for 3 windows
    Then no usage window was sent with two counts
    And the usage windows 10, 11, 12, 13, 14 and 16 were sent

  Scenario: Reports of usage windows that are too old are skipped
    Given a usage reporter that has sent no report for 20 windows
    When the next lease holder starts
    Then the next holder reports only windows whose report can still be in time

  Scenario: A router's usage counts are kept after it was killed and started again
    Given the usage counts of a router that was killed and started again
    Then the usage window's total includes the requests before and after the restart

  # Guards against counting only requests whose stream sent an event. A window's report
  # had 1526 of 1906 requests: engines failed nearly half of the requests in that window,
  # and a quarter of the answers were lost in the next window. Streaming attempts without
  # an event were not counted (645 and 377), while for requests without a stream each
  # attempt counted. Usage is the number of callers' requests that started to run, each
  # counted once: 1902 according to the log.

  Scenario Outline: Requests without an event count as usage if the upstream may have run them
    Given a fleet of 1 routers with one scripted engine
    And the upstream answers with "<what>"
    When a caller posts "letter" to "<path>"
    Then <count> requests of "noor" are counted as started

    Examples:
      | what                            | path    | count |
      | a status 500                    | /once/x | 1     |
      | a 503 without a not-run header  | /once/x | 1     |
      | a connection reset              | /once/x | 1     |
      | a close without a response      | /chat/x | 1     |
      | a refusal with a not-run header | /once/x | 0     |
      | the name of another upstream    | /once/x | 0     |

  Scenario: A request whose answer is lost counts in the window in which it was sent
    Given a fleet of 1 routers with one scripted engine
    And the upstream answers with "a connection reset a window later"
    When a caller posts "letter" to "/once/x" at the start of a usage window
    Then 1 requests of "noor" are counted as started, only in that window

  Scenario Outline: A request that ran twice counts once as usage
    Given a fleet of 1 routers
    And every upstream of "<service>" fails every request
    When a caller posts "letter" to "<path>"
    Then the request was run at least 2 times
    And 1 requests of "noor" are counted as started

    Examples:
      | service    | path     |
      | booking    | /pages/x |
      | draft-pool | /chat/x  |

  Scenario: Routers contend for the lease in the order of their running time, longest first
    Given five routers that started one after another
    Then the routers contend for a vacant lease in that order
    When the first of the five routers is stopped and started again
    Then the restarted router contends last

  # Guards against 9 s without a lease holder after all routers were killed: the former
  # holder contended last after its restart, and waited for its turn (see lease.feature).

  Scenario: After all routers were killed, the former lease holder takes over once it has restarted
    Given five routers that started one after another
    And the last of the routers held the lease when all of them were killed
    When all five routers start again, and 1000 ms pass
    Then the last router holds the lease with fencing number 2
    And each router has called the store at most 4 times

  Scenario: If the former lease holder is known, the router that has run longest takes the lease next
    Given five routers that started one after another
    And the last of the routers held the lease when all of them were killed
    When all five routers start again with the former holder known, and 5000 ms pass
    Then the first router holds the lease with fencing number 2

  Scenario: A router that knows the lease holder does not read the lease from the store
    Given five routers that started one after another
    And the last of the routers held the lease when all of them were killed
    And the store is unavailable to all routers
    When all five routers start again with the former holder known, and 5000 ms pass
    Then the last router has not called the store

  # Guards against 6.5 s without a lease holder, in which half of the engines were lost.
  # The holder was killed just after a renewal of which the next contenders had no
  # notice. They found that renewal in the store, and then waited for the length of a
  # lease. In this scenario beacons are sent seldom.
  Scenario: The next contender is notified of each renewal of the lease
    Given five routers that started one after another
    When beacons are sent every 1400 ms, and the lease holder is killed after a renewal
    Then the second router holds the lease 4800 ms later

  # Guards against losing the pending orders of the previous holder, which only that
  # holder knew. A new holder ordered 1 engine where the previous holder had ordered 14
  # engines 8 s earlier. These were not in the platform's store yet, and the new order
  # cancelled them.
  Scenario: The next lease holder knows the required upstreams and the pending orders of the previous holder
    Given five routers that started one after another
    When all five routers start, and the first one requires 46 upstreams
    And the first router orders upstreams after 1000 ms, and is killed 800 ms later
    Then the next lease holder knows the 46 required upstreams and the pending order

  Scenario: A lease holder that has not run its duties passes the saved state on
    Given five routers that started one after another
    When all five routers start, and the first one requires 46 upstreams
    And the first router is stopped, and so is the second before it runs its duties
    Then the third lease holder knows the 46 required upstreams

  Scenario: A router that loses the lease and takes it again keeps its own state
    Given five routers that started one after another
    When all five routers start, and the first one requires 46 upstreams
    And the store is unavailable for 5000 ms
    Then the first router holds the lease again and still has its own state

  Scenario: At the first start of a fleet only one router calls the store
    Given five routers that started one after another
    When all five routers start, and 3000 ms pass
    Then the first router holds the lease with fencing number 1
    And the other routers have not called the store

  Scenario: A router stores its endpoint with the lease
    Given a fleet of 2 routers
    Then the stored lease on the duties contains its holder's endpoint

  Scenario: A router's clock that jumps does not shift usage windows
    Given the clocks of five routers, of which two jump by an hour
    Then the fleet's clock does not jump

  Scenario: Firm engines are replaced by reclaimable ones
    Given a fleet of 3 routers whose scaling is "planner"
    Then within 8000 ms all engines are reclaimable, and enough are left after losing any failure domain

  Scenario: Reclaimed engines are replaced by firm ones if no reclaimable ones are available
    Given a fleet of 3 routers whose scaling is "planner"
    And within 8000 ms all engines are reclaimable, and enough are left after losing any failure domain
    When no reclaimable engines are available, and a failure domain is reclaimed
    Then firm engines replace the reclaimed ones within 8000 ms

  Scenario: Without scaling no upstreams are ordered
    Given a fleet of 2 routers whose scaling is "fixed"
    Then no upstreams are ordered within 2500 ms
