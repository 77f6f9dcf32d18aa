Feature: Token limits of teams, retry budgets, health and placement

  Scenario: A team may spend its burst and then its rate
    Given 3 routers that share a limit of 1000 tokens a second and a burst of 2000
    When each router receives a request of 200 tokens every 100 ms for 10 s
    Then between 11500 and 13500 tokens are admitted in total

  Scenario: Traffic below the limit is never refused
    Given 6 routers that share a limit of 1000 tokens a second and a burst of 2000
    When each router receives a request of 10 tokens every 100 ms for 20 s
    Then no request is refused

  Scenario: An isolated router spends no more than its share of the limit
    Given 3 routers that share a limit of 1000 tokens a second and a burst of 2000
    And router 1 is isolated from the others
    When each router receives a request of 200 tokens every 100 ms for 10 s
    Then router 1 admits at most 5600 tokens

  Scenario: A long request leaves no debt that delays short ones
    Given 1 routers that share a limit of 100 tokens a second and a burst of 2000
    When a request spends 1900 tokens
    Then a request of 1000 tokens is refused with a wait of 4000 ms
    And a request of 150 tokens is admitted
    And a request of 9000 tokens is refused, and admitted after 11000 ms

  Scenario: A lowered limit takes effect at once
    Given 1 routers that share a limit of 1000 tokens a second and a burst of 2000
    When the limit is lowered to 100 tokens a second and a burst of 100
    And each router receives a request of 200 tokens every 100 ms for 10 s
    Then between 900 and 1400 tokens are admitted in total

  Scenario: The spending of a restarted router is not counted twice
    Given 2 routers that share a limit of 1000 tokens a second and a burst of 2000
    When router 1 spends 1500 tokens and is restarted
    Then router 2 has subtracted 1500 tokens once

  Scenario: The tokens of a request that did not run are refunded
    Given 1 routers that share a limit of 0.001 tokens a second and a burst of 500
    When a request of 400 tokens is admitted but does not run
    Then another request of 400 tokens is admitted

  Scenario: A caller whose team exceeds its limit receives a retry time
    Given a fleet of 2 routers with a limit of 30 tokens a second for "noor"
    When a caller spends the whole limit at one router
    Then the other router refuses requests within 1000 ms with 429 and a retry time

  Scenario: Retries stay within a fraction of the number of requests
    Given a budget of 0.2 retries per request and 5 more retries in 10 s, for 2 routers
    When a service receives 50 requests in 10 s that need 3 retries each
    Then at most 12 retries are allowed
    And at most 12 more retries are allowed in the next 10 s, with 50 more requests

  # Guards against a router that never sends requests to an upstream again: the caller of
  # the probe request left, so the probe had no outcome, and only an outcome ended a probe.
  Scenario: A probe whose caller has left does not exclude an upstream for good
    Given the health state of an upstream
    When the upstream fails 2 times in a row
    Then the upstream gets no request for 250 ms, and then only one
    When the probe request ends without an outcome
    Then the upstream gets no request for 4000 ms, and then only one
    When the probe request succeeds
    Then the upstream gets any number of requests again

  Scenario: An upstream that does not answer gets no requests for a while
    Given the health state of an upstream
    When the upstream fails 2 times in a row
    Then the upstream gets no request for 250 ms, and then only one
    When the probe request fails
    Then the upstream gets no request for 500 ms, and then only one
    When the probe request succeeds
    Then the upstream gets any number of requests again

  Scenario: An upstream that fails some of its requests gets fewer requests
    Given two upstreams of which one fails half of its requests
    Then the upstream without failures is selected while both upstreams are idle

  Scenario: An upstream that has been silent for long is avoided
    Given two upstreams, one of which has a request and sends nothing
    Then a new request goes to the silent upstream after 100 ms, and to the other upstream after 1000 ms
    And the silent upstream is selected again once it has sent a byte

  Scenario: Prompts with a common prefix have the same home on every router
    Given 5 idle engines and 3 routers
    Then all routers send requests with a common prefix to the same engine
    And 200 prefixes are spread over all 5 engines

  Scenario: A router compares only a few of thousands of engines for a request
    Given 3000 idle engines and 3 routers
    Then each router compares up to 129 engines for a request
    And all routers send requests with a common prefix to the same engine
    When the home of the first prefix leaves
    Then only the prefixes whose home has left move to other engines

  Scenario: A router uses other engines if all engines in its subset fail
    Given 300 idle engines and 1 routers
    When all engines in the subset of the router fail
    Then a request without a prefix goes to another engine

  Scenario: The load of another router counts until that router reports less or falls silent
    Given 3 idle engines and 1 routers
    When routers "r1" and "r2" report 2 requests on each engine
    Then 4 requests are counted on each engine
    When router "r1" reports no requests
    Then 2 requests are counted on each engine
    When beacons arrive only from router "r1"
    Then 0 requests are counted on each engine

  Scenario: Requests avoid the home of their prefix if it has too much load
    Given 5 idle engines and 3 routers
    When the home of a prefix has 40000 tokens waiting for prefill
    Then requests with this prefix go to other engines

  Scenario Outline: Urgency of a request by its priority and by the slack of its latency target
    Then a prompt of <tokens> tokens with a target of <target> ms and priority <priority> has urgency level <level>

    Examples:
      | tokens | target | priority | level |
      | 500    | 400    | 2        | 2     |
      | 3600   | 800    | 1        | 2     |
      | 17000  | 800    | 1        | 3     |
      | 39000  | 800    | 1        | 5     |
      | 500    | 600    | 0        | 0     |
      | 39000  | 800    | 4        | 9     |

  Scenario: A prompt is more urgent if engines prefill faster
    Then a prompt of 17000 tokens is more urgent at a prefill rate of 100 tokens per ms than at 20

  Scenario: The start and the prefill of a long prompt are reported at once
    Given a fleet of 3 routers that send beacons every 10000 ms
    When one router sends a prompt of 5000 tokens to an engine
    Then the other routers know of 5000 tokens waiting for prefill at that engine
    When the prefill of the prompt ends
    Then the other routers know of 0 tokens waiting for prefill at that engine

  Scenario: Routers with stale data do not all select the same engine
    Given 20 idle engines and 40 routers
    When each router places 3 prompts without data from the others
    Then no engine receives more than 20 of the 120 prompts
    And with current data from the other routers, each engine receives 6 prompts, plus or minus one

  # A request that did not run has spent neither the team's limit nor this router's
  # part of it.
  Scenario: A refund also clears what is not confirmed
    Given one of 58 routers, and a team whose token bucket is at a low level
    When the router admits a small request that does not run
    Then the next request is admitted at once

  # Guards against memory that grows with each refund: the head has counted the requests, and
  # a member never asks for confirmations of its own spending while the head answers.
  Scenario: Refunds at a member of a group take no memory
    Given one of 58 routers, and a team whose token bucket is at a low level
    When the head of its group admits 1000 requests that do not run
    Then the router keeps no record of its own spending

  # Guards against refusals while a configuration spreads: a head without a team's limit
  # refused the requests of members that had it already.
  Scenario: A head without the limit of a team leaves its requests to the member
    Given one of 58 routers, and a team whose token bucket is at a low level
    Then as the head it lends 500 tokens to a team that it does not know, uncounted

  Scenario: A single router admits requests within the limit at once
    Given one of 1 routers, and a team whose token bucket is at a low level
    When the router admits a small request
    Then the next request is admitted at once
