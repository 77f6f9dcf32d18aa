Feature: The planner orders the cheapest upstreams that cover the demand after a loss

  Scenario Outline: The cheapest mix of reclaimable and firm upstreams for a number of needed ones
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of <part> times the firm ones
    When <needed> upstreams are needed
    Then the mix has <reclaimable> reclaimable and <firm> firm upstreams

    Examples:
      | part | needed | reclaimable | firm |
      | 0.22 | 1      | 4           | 0    |
      | 0.22 | 3      | 4           | 0    |
      | 0.22 | 4      | 6           | 0    |
      | 0.22 | 6      | 8           | 0    |
      | 0.6  | 3      | 4           | 0    |

  Scenario: Only firm upstreams are planned while no reclaimable ones are available
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    And no reclaimable upstreams are available
    When 3 upstreams are needed
    Then the mix has 0 reclaimable and 3 firm upstreams

  Scenario: Existing upstreams count towards the mix
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    And 2 firm upstreams exist already
    When 3 upstreams are needed
    Then the mix includes these 2 firm upstreams

  Scenario: The mix is the cheapest for random prices and limits
    Then in 300 random markets the mix has enough upstreams after any loss, and no valid mix is cheaper

  Scenario: The most expensive upstream that is not needed is removed first
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    Then of 4 reclaimable and 2 firm upstreams, with 3 needed, the most expensive firm one is removed

  Scenario: Capacity plans are cached
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    Then a cached plan is used only for the same market, needed and existing upstreams

  Scenario: An upstream that starts before the rest of its order is kept
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    And 5 upstreams are needed, and one reclaimable per failure domain and 2 firm ones are live
    When a second reclaimable upstream is ordered in each of "a", "b" and "d", and the one in "b" starts first
    Then one firm upstream is removed, which is not needed after any single loss
    When the second upstreams in "a" and "d" have started too
    Then the last firm upstream is removed, and no reclaimable one

  Scenario: A refused order is retried with growing pauses
    Given an order tracker
    When an order is refused 3 times
    Then the pauses before the next attempts were 1500, 3000 and 4000 ms

  Scenario: Ordered upstreams are expected until they have started or are overdue
    Given an order tracker
    When 2 upstreams are ordered that boot in 4000 ms
    Then 2 upstreams are expected at once, and 0 after 7000 ms

  Scenario: Upstreams for a live event are ordered before it starts
    Given a live event of 96000 tokens per second that starts in 120 s
    Then the event's upstreams are ordered 54000 ms before the event and released 60000 ms after it
    And the text of the event plan states the cost and the redundancy

  Scenario: Each router measures the demand of the requests to all routers
    Given two routers that received requests for 30000 and 60000 tokens in 6 s
    Then both routers measure a demand of 15000 tokens per second

  Scenario: A router measures the mean size of its requests
    Given a router that has just started
    Then the mean request size of the router is unknown
    When the router receives a request for 24000 tokens, and 250 ms pass
    And the router receives a request for 12000 tokens, and 250 ms pass
    Then the mean request size of the router is 18000 tokens

  Scenario: A burst right after a router's start does not count as a lasting rate
    Given a router that has just started
    When the router receives a request for 24000 tokens, and 250 ms pass
    Then the router measures a demand of 12000 tokens per second

  Scenario: Until the demand is measured, a share of the initial upstreams is estimated as needed
    Given a scaler at the start of a fleet with 1 upstreams
    Then the estimate is 2 upstreams at once
    When 9 upstreams have started, and no more for 1500 ms
    Then the estimate is 5 upstreams at once
    When the demand is measured as that of 3 upstreams
    Then the estimate is 3 upstreams at once

  Scenario: New reclaimable upstreams do not delay the end of a fleet's startup
    Given a scaler at the start of a fleet with 1 upstreams
    When 9 upstreams have started, and 4 reclaimable ones start 1400 ms later
    Then the startup of the fleet is over 100 ms after that

  Scenario: Without measured demand, all excess upstreams are removed at once
    Given a starting fleet with 9 firm upstreams in 4 failure domains
    When the scaler runs until its reclaimable upstreams have started
    Then the scaler has ordered reclaimable upstreams first
    And the scaler kept 5 firm upstreams until the reclaimable ones had started, and none after that

  # Guards against removing needed upstreams after a restart of all routers. The next
  # lease holder had measured hardly any demand. It treated the live upstreams as those
  # that operators start a fleet with, of which only half count as needed. It removed 25
  # of 65 upstreams while 44 were needed, and another time 14 of 32 while 46 were needed,
  # and ordered them again six seconds later.
  Scenario: A new lease holder removes no upstreams before it has measured the demand
    Given a new lease holder with 3 reclaimable upstreams in each failure domain
    When the new holder runs for 5000 ms, with little demand reported so far
    Then no upstream was removed
    When the demand is measured, as that of 2 upstreams
    Then the new holder has removed 1 upstreams after 6000 ms

  Scenario: A new lease holder orders at once the upstreams that the previous holder required
    Given a new lease holder with 2 reclaimable upstreams in each failure domain
    And the previous holder required 12 upstreams
    Then the first run of the new holder orders 8 more upstreams

  Scenario: Pending orders of the previous lease holder are awaited and not cancelled
    Given a new lease holder with 2 reclaimable upstreams in each failure domain
    And the previous holder required 9 upstreams
    And the previous holder ordered 3 more upstreams in "fd-2", which start within 6000 ms
    When the new holder runs for 5000 ms, with little demand reported so far
    Then no order was for fewer than 5 upstreams in "fd-2"

  Scenario: The state of the previous lease holder is ignored if it is too old
    Given a new lease holder with 3 reclaimable upstreams in each failure domain
    And the previous holder required 15 upstreams
    And the state of the previous holder is 61000 ms old
    Then the first run of the new holder orders 4 more upstreams

  Scenario: The estimate of the required upstreams falls slowly and rises at once
    Given a scaler with 6 upstreams
    When the demand falls from that of 5 upstreams to that of 1
    Then the estimate is still 5 upstreams after 4000 ms, and 4 after 6000 ms
    When the demand rises to that of 6 upstreams
    Then the estimate is 6 upstreams at once

  # Guards against counting rate-limited upstreams at full capacity, which gives too few
  # upstreams in total.
  Scenario: Rate limits of upstreams raise the estimate at once, and lifting them lowers it slowly
    Given a scaler with 6 upstreams
    And an upstream can carry 5 requests per second
    When the demand rises to that of 4 upstreams
    And upstreams state rate limits of 1, 1 and 9 requests per second
    Then the estimate is 6 upstreams at once
    When no upstream states a rate limit
    Then the estimate is still 6 upstreams after 4000 ms, and 5 after 6000 ms

  Scenario: Rate limits do not raise the estimate while the mean request size is unknown
    Given a scaler with 6 upstreams
    When the demand rises to that of 4 upstreams
    And upstreams state rate limits of 1, 1 and 9 requests per second
    Then the estimate is 4 upstreams at once

  Scenario: More upstreams are ordered to compensate for rate limits of live ones
    Given a new lease holder with 2 reclaimable upstreams in each failure domain
    And the previous holder required 6 upstreams
    And an upstream can carry 5 requests per second
    And 2 live upstreams state a rate limit of 1 request per second
    When the demand rises to that of 6 upstreams
    Then the first run of the new holder orders 3 more upstreams

  Scenario: Reclaimable upstreams are held for rare peaks of the demand
    Given a scaler with 6 upstreams
    When the demand is usually that of 3 upstreams, and rarely that of 6
    Then 3 upstreams are needed, and 6 are held while reclaimable ones are available

  Scenario: Quantiles of the demand show how rare a peak is
    Given a demand of 1000 tokens per second for 56 s, and of 5000 for 4 s
    Then the 0.9 quantile of the demand is about 1000, and the 0.97 quantile is more than twice that

  Scenario: Until the demand is measured, the reserve is the number of the fleet's initial upstreams
    Given a scaler at the start of a fleet with 1 upstreams
    When 9 upstreams have started, and no more for 1500 ms
    Then 9 upstreams are held while reclaimable ones are available

  Scenario: Upstreams lost while an order is pending are no longer expected
    Given an order tracker
    When 2 upstreams are ordered in addition to 3, and these 3 are lost
    Then 2 upstreams are expected
    When one of the ordered upstreams has started
    Then 2 upstreams are expected

  Scenario: Upstreams of a version that is not in use count in orders, but serve nothing
    # The platform counts the upstreams of both versions while a service is rolled out.
    Given 5 upstreams are needed, and one reclaimable per failure domain and 0 firm ones are live
    And 2 reclaimable upstreams of another version are live in each failure domain
    When missing upstreams are ordered
    Then each order exceeds the planned number by 2

  Scenario: Nothing is given back while a service is rolled out
    Given a starting fleet with 9 firm upstreams in 4 failure domains
    And the service is rolled out
    When the scaler runs 4 times, 2 s apart, for the demand of 2 upstreams
    Then nothing is ordered back
    When the service is no longer rolled out
    And the scaler runs 4 times, 2 s apart, for the demand of 2 upstreams
    Then an upstream is ordered back

  Scenario: Orders stay within the maximum number of upstreams of a failure domain
    Given a starting fleet with 9 firm upstreams in 4 failure domains
    And a maximum of 3 upstreams in each failure domain
    When the scaler runs once for the demand of 9 upstreams
    Then no failure domain has orders for more than 3 upstreams in total

  Scenario: Reclaimable upstreams that could not be replaced are not removed
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    And 2 upstreams are needed, 3 reclaimable ones are live in each failure domain, and no more are available
    Then no reclaimable upstream is removed

  Scenario: A large fleet needs less spare capacity per upstream than a small one
    Given a scaler with 6 upstreams
    Then ten times the demand requires less than ten times the upstreams

  Scenario: Engines with a faster measured prefill carry more demand
    Given a scaler with 6 upstreams
    When the engines are measured to prefill 3 times as fast as expected
    Then fewer than 5 upstreams are needed for the demand of 6 at the expected speed

  Scenario: Prefill rates that a removed router has measured are discarded
    Given two routers that measured prefill rates of 20 and 60 tokens per ms
    Then the prefill rate is 40 tokens per ms
    When the router that measured 20 is removed
    Then the prefill rate is 60 tokens per ms

  Scenario: The measured prefill speed is bounded relative to the expected speed
    Given a scaler with 6 upstreams
    When the engines are measured to prefill 50 times as fast as expected
    Then as many upstreams are needed as with 3 times the expected speed

  Scenario: The prefill rate is measured from undisturbed requests
    Given engines that prefill 40 tokens per ms, with some slower requests
    Then the measured prefill rate is 40, within a tenth
    And fewer than 12 samples give no measured prefill rate

  Scenario: Upstreams for the reserve are ordered as reclaimable ones only
    Given firm prices of 1.0, 0.8, 1.25 and 0.9, and reclaimable prices of 0.22 times the firm ones
    Then with 2 upstreams needed and a reserve of 6, 8 reclaimable and no firm ones are ordered
