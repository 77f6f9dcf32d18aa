Feature: A caller gets only the complete response to its own request

  Background:
    Given a fleet of 1 routers with one scripted upstream

  Scenario Outline: A non-idempotent request with an abnormal response
    Given the upstream answers with "<what>"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is <status>, and the upstream ran the request at most once

    Examples:
      | what                            | status |
      | bytes that are no HTTP response | 502    |
      | half of the body                | 502    |
      | a close without a response      | 502    |
      | a connection reset              | 502    |
      | a success without a seal        | 502    |
      | a 503 without a not-run header  | 502    |
      | two Content-Length headers      | 502    |
      | a Content-Length and chunks     | 502    |
      | a malformed chunk               | 502    |
      | a status 404                    | 404    |
      | a body that ends with the connection | 200 |

  Scenario: A second answer after the first is given to nobody
    Given the upstream answers with "its answer and then a foreign one"
    When a caller posts "seat 12" to "/holds/seat"
    And a caller posts "seat 13" to "/holds/seat"
    Then each caller receives the answer to its own request

  Scenario: A late answer to another request comes before its own
    Given the upstream answers with "a stale answer and then its own"
    When a caller posts "seat 12" to "/holds/seat"
    Then each caller receives the answer to its own request

  Scenario: A refusal without a run is passed on as a promise
    Given the upstream answers with "a refusal with a not-run header"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 503 with a retry time

  Scenario: Another upstream has the address
    Given the upstream answers with "the name of another upstream"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 503 with a retry time

  Scenario: A response that arrives before a long body is sent completely
    Given the upstream answers before it reads the body
    When a caller posts 3000000 bytes to "/holds/seat"
    Then the status is 200
    And the upstream then receives only the rest of that body, or nothing

  Scenario: A connection with an incompletely sent body is not reused
    Given the upstream answers before it reads the body
    When a request of 20000000 bytes is sent over a connection to the upstream
    Then the answer is received, and the connection must not be reused

  Scenario: Bytes that come along with an answer spoil no other request
    Given the upstream answers with "its answer and a foreign one at once"
    When 5 requests are sent one after the other
    Then each request is answered with its own answer
    And each request was sent over a new connection

  Scenario: Each request names the upstream that is meant
    Given the upstream answers with "a status 404"
    When a caller posts "seat 12" to "/holds/seat"
    Then the request contained the name of the upstream

  Scenario: The upstream closes idle connections without notice
    Given the upstream answers once on each connection, and closes it after a delay
    When 5 requests are sent one after the other
    Then each request is answered with its own answer

  # Guards against answers that are cut while a sound upstream is silent for a second or so:
  # TCP_USER_TIMEOUT also decides when keep-alive probes give up.
  Scenario: A connection outlives an upstream that is silent for two seconds
    Given a connection to an upstream
    Then it is kept for 2500 to 4000 ms without any packet of the upstream

  # Guards against upstreams that a router takes for unreachable, because it stood still itself
  # while a connection was opened.
  Scenario: A pause of the router is no failure to connect
    Given an upstream that a router connects to
    Then the connection is open if its time limit of 250 ms is noticed first
