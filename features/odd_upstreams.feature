Feature: A caller gets only the complete response to its own request

  Background:
    Given a fleet of 1 routers with one scripted upstream

  Scenario Outline: A non-idempotent request with an abnormal response
    Given the upstream answers with "<what>"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is <status>, and the upstream ran the request at most once

    Examples:
      | what                                 | status |
      | bytes that are no answer             | 502    |
      | half of the body                     | 502    |
      | nothing and a close                  | 502    |
      | a reset                              | 502    |
      | a success without a seal             | 502    |
      | a 503 without a not-run statement    | 502    |
      | two lengths                          | 502    |
      | a length and chunks                  | 502    |
      | an odd chunk                         | 502    |
      | a 404 of its own                     | 404    |
      | a body that ends with the connection | 200    |

  Scenario: An extra response after the first one is discarded
    Given the upstream answers with "its answer and another one"
    When a caller posts "seat 12" to "/holds/seat"
    And a caller posts "seat 13" to "/holds/seat"
    Then each caller receives the answer to its own request

  Scenario: A late response to another request precedes the correct one
    Given the upstream answers with "an old answer and then its own"
    When a caller posts "seat 12" to "/holds/seat"
    Then each caller receives the answer to its own request

  Scenario: A refusal that states that the request was not run is forwarded
    Given the upstream answers with "a refusal with a not-run statement"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 503 with a retry time

  Scenario: The address now belongs to another upstream
    Given the upstream answers with "another upstream's name"
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

  Scenario: Extra bytes after a response do not affect other requests
    Given the upstream answers with "its answer and another one at once"
    When 5 requests are sent one after the other
    Then each request is answered with its own answer
    And each request was sent over a new connection

  Scenario: Each request names the intended upstream
    Given the upstream answers with "a 404 of its own"
    When a caller posts "seat 12" to "/holds/seat"
    Then the request contained the name of the upstream

  Scenario: The upstream closes idle connections without notice
    Given the upstream answers once on each connection, and closes it after a delay
    When 5 requests are sent one after the other
    Then each request is answered with its own answer
