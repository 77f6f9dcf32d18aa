Feature: A caller gets only the complete response to its own request

  Background:
    Given a fleet of 1 routers with one scripted upstream

  Scenario Outline: A non-idempotent request with an abnormal response
    Given the upstream answers with "<what>"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is <status> and the upstream ran it at most once

    Examples:
      | what                            | status |
      | bytes that are no answer        | 502    |
      | half of the body                | 502    |
      | nothing and a close             | 502    |
      | a reset                         | 502    |
      | a success without a seal        | 502    |
      | a 503 that does not say not run | 502    |
      | two lengths                     | 502    |
      | a length and chunks             | 502    |
      | an odd chunk                    | 502    |
      | a 404 of its own                | 404    |
      | a body that ends with the connection | 200 |

  Scenario: An extra response after the first one is discarded
    Given the upstream answers with "its answer and another one"
    When a caller posts "seat 12" to "/holds/seat"
    And a caller posts "seat 13" to "/holds/seat"
    Then each got the answer to its own request

  Scenario: A late response to another request precedes the correct one
    Given the upstream answers with "an old answer and then its own"
    When a caller posts "seat 12" to "/holds/seat"
    Then each got the answer to its own request

  Scenario: A refusal that states that the request was not run is forwarded
    Given the upstream answers with "a refusal that says not run"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 503 with a time to come back

  Scenario: The address now belongs to another upstream
    Given the upstream answers with "another upstream's name"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 503 with a time to come back

  Scenario: A response that arrives before a long body is sent completely
    Given the upstream answers before it has read the body
    When a caller posts 3000000 bytes to "/holds/seat"
    Then the status is 200
    And what the upstream reads on is the rest of that body or nothing

  Scenario: A connection with an incompletely sent body is not reused
    Given the upstream answers before it has read the body
    When 20000000 bytes are sent over a connection to it
    Then the answer is there and the connection is not kept

  Scenario: Extra bytes after a response do not affect other requests
    Given the upstream answers with "its answer and another one at once"
    When 5 requests are sent one after the other
    Then all of them got the answer to their own request
    And each came on a connection of its own

  Scenario: Each request names the intended upstream
    Given the upstream answers with "a 404 of its own"
    When a caller posts "seat 12" to "/holds/seat"
    Then the upstream's own name was in it

  Scenario: The upstream closes idle connections without notice
    Given the upstream answers once on each connection and closes it late
    When 5 requests are sent one after the other
    Then all of them got the answer to their own request
