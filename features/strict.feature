Feature: A request that can be read in two ways is read in none

  Background:
    Given a fleet of 1 routers

  Scenario Outline: Heads that are not right are refused and never passed on
    When these raw bytes are sent to a router
      """
      <head>
      """
    Then the raw response starts with "HTTP/1.1 <status>" and the connection is closed
    And no upstream received a request

    Examples:
      | status | head                                                            |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Content-Length: 3~Content-Length: 4~~abc |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Content-Length: 3~Transfer-Encoding: chunked~~abc |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Transfer-Encoding: gzip, chunked~~0~~ |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Transfer-Encoding : chunked~~0~~ |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Content-Length: +3~~abc |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Content-Length: 3, 3~~abc |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~X-A: b~ Content-Length: 3~~abc |
      | 400    | POST /holds/x HTTP/1.1~Host: a~Host: peridot.example~~ |
      | 400    | POST /holds/x HTTP/1.1~Content-Length: 0~~ |
      | 400    | POST  /holds/x HTTP/1.1~Host: peridot.example~~ |
      | 400    | POST /holds/x HTTP/2.0~Host: peridot.example~~ |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~no colon~~ |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Transfer-Encoding: chunked~~+3~abc~0~~ |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Transfer-Encoding: chunked~~3~abcd~0~~ |
      | 400    | POST /holds/x HTTP/1.1~Host: peridot.example~Transfer-Encoding: chunked~~0x3~abc~0~~ |

  Scenario: A head that is too large
    When a caller sends a header of 40000 bytes
    Then the status is 431

  Scenario: A body that is too large
    When a caller sends a body of 5000000 bytes
    Then the status is 413
    And no upstream received a request

  Scenario: A body in chunks is whole at the upstream
    When a caller sends the body "seat 7" in chunks of 2 bytes
    Then the raw response ends with "done:seat 7"

  Scenario: A body that breaks off reaches no upstream
    When a caller sends half of its body and closes the connection
    Then no upstream received a request

  Scenario: A caller that ends its side within its body is told so
    When a caller sends half of its body and half-closes the connection
    Then the raw response starts with "HTTP/1.1 400" and the connection is closed
    And no upstream received a request

  Scenario: Heads that never end are cut off
    Given a header timeout of 300 ms
    When a caller sends headers that never end
    Then the raw response starts with "HTTP/1.1 408" and the connection is closed

  Scenario: A request that hides in the body of another is never run
    When a caller sends a body that looks like a request
    Then exactly one request was run
