Feature: What upstreams state in their answers

  # Guards against requests to an upstream whose leaving only its answers tell: with the
  # store out, routers sent it requests 3 s after they had passed on such an answer.
  Scenario: An upstream whose answers state that it leaves gets no more requests
    Given a fleet of 1 routers
    When one engine states in its answers that it leaves, and not in the store
    And 25 requests a second are sent for 4 s, to each router in turn
    Then that engine receives no request later than 2000 ms after its first answer
    And all requests are answered with 200

  # Guards against requests to an upstream that has asked for a rest: it refused a router
  # with 503 and a time, and got four requests from that router within this time.
  Scenario: An upstream that asks for a rest gets it
    Given a fleet of 1 routers with a single engine
    When one engine refuses requests for 300 ms and asks for a rest of 3 s each time
    And 25 requests a second are sent for 5 s, to each router in turn
    Then that engine receives at most 2 requests from 500 ms to 3000 ms after its first refusal
    And it receives requests again after its rest
    And some requests are refused with 503 and a retry time, in a median of at most 100 ms

  Scenario Outline: A malformed time of rest is ignored
    Given a fleet of 1 routers with a single engine
    When one engine refuses requests for 300 ms and asks for a rest of <text> s each time
    And 25 requests a second are sent for 2 s, to each router in turn
    Then the engine receives requests from 500 ms to 1500 ms after its first refusal

    Examples:
      | text  |
      | soon  |
      | -3    |
      | 3e300 |

  Scenario: A shorter rest does not end a longer one
    Given upstreams "a", "b" and "c" with entries in the store
    When "a" asks for a rest of 3000 ms, and then for one of 100 ms
    And 2500 ms pass
    Then "a" still rests for 500 ms

  # Guards against upstreams that state that they are brittle, and fall over because the
  # routers together have too many requests refused at them.
  Scenario Outline: Upstreams that state that they are brittle do not fall over
    Given a fleet of <routers> routers, with 4 upstreams of 3 slots that bear 3 refusals a second
    When each router has had an answer of each upstream
    And 4 requests come at once to each router every 100 ms, for 6 s
    Then at most 2 times an upstream refused more than 3 requests in a second
    And the upstreams together ran at least <run> requests

    Examples:
      | routers | run |
      | 2       | 200 |
      | 6       | 200 |
      | 12      | 200 |
