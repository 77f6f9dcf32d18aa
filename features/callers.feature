Feature: The platform's callers are served by host, path and key

  Background:
    Given a fleet of 2 routers

  Scenario Outline: Requests go by the route with the longest prefix
    When a caller asks for "<path>" at host "<host>" with the key "<key>"
    Then the status is <status>

    Examples:
      | path          | host            | key      | status |
      | /holds/seat   | peridot.example | key-noor | 200    |
      | /pages/a/b    | PERIDOT.example | key-noor | 200    |
      | /pages/       | peridot.example:80 | key-noor | 200 |
      | /pages        | peridot.example | key-noor | 404    |
      | /nothing/x    | peridot.example | key-noor | 404    |
      | /holds/seat   | other.example   | key-noor | 404    |
      | /holds/seat   | peridot.example | wrong    | 401    |
      | /holds/seat   | peridot.example |          | 401    |

  Scenario: The upstream's answer comes back as it was given
    When a caller sends "seat 12" to the target "/holds/seat?x=%2F%2f"
    Then the status is 200 and the body "done:seat 12" with its seal
    And the upstream got the target "/holds/seat?x=%2F%2f"

  Scenario: The system's own headers are never taken from a caller
    When a caller sends these headers along
      | name              | value     |
      | X-Tenant          | kalnins   |
      | X-Expect-Instance | somewhere |
      | X-Request-Urgency | 0         |
      | X-Kv-Hold         | 1         |
      | X-Kv-Backup       | 1.2.3.4:5 |
      | Kv-From           | 1.2.3.4:5 |
      | X-Pin-Ms          | 1000      |
      | X-Duty-Holder     | me        |
      | X-Own             | kept      |
      | Connection        | x-hop     |
      | X-Hop             | dropped   |
    Then the upstream got the team "noor" and not the key
    And the upstream got "X-Own" as "kept" and none of the others

  Scenario: What is left of the caller's time goes on to the upstream
    When a caller asks with 3000 ms left
    Then the upstream got at most 3000 ms and more than 2000 ms

  Scenario: A request on a public route needs no key
    Given the route "pages" is public
    When a caller asks for "/pages/a" at host "peridot.example" with the key ""
    Then the status is 200

  Scenario: A route that is split by weight reaches both services
    Given another service takes half of the route "pages"
    Then 60 requests for "/pages/a" reach both services

  Scenario: A key is taken away while its caller is connected
    When a caller asks for "/holds/seat" over a kept connection
    And the team's key is taken away
    Then the kept connection gets 401 within 2000 ms

  Scenario: A route's timeout is over while the upstream works
    Given the route "holds" has a timeout of 300 ms
    And every upstream of "booking" hangs
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 504 after at least 290 ms and less than 800 ms

  Scenario: A stream that lasts longer than its route's timeout
    Given the route "once" has a timeout of 400 ms
    When a caller streams 400 tokens from "/once/x"
    Then the stream is visibly broken after less than 1000 ms

  Scenario: A router that knows no configuration says so
    Given a router that starts while the store is out
    When a caller asks it for "/holds/seat"
    Then the status is 503 with a time to come back

  # By reading: who knows no configuration, or an old one, turned a request away for
  # good by bounds that were not the ones in force, and by models that it had not
  # read yet. The same cause as in `spread`: what is known to be old, or to be nothing,
  # was answered from as if it were final.
  Scenario: A router that knows no configuration says so of bounds and models too
    Given a router that starts while the store is out
    When a caller sends it a body of 2000000 bytes
    Then the status is 503 with a time to come back
    When a caller sends it a header of 20000 bytes
    Then the status is 503 with a time to come back
    When this is posted to "/v1/chat/completions"
      """
      {"model": "x", "messages": []}
      """
    Then the status is 503 and the reason holds "no_config"
    When this is posted to "/v1/services/booking/hold"
      """
      {"payload": "1"}
      """
    Then the status is 503 and the reason holds "no_config"

  Scenario: Two requests on one connection, and what callers leave out
    When a caller sends a request without an id or a deadline
    Then the status is 200
