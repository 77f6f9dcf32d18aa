Feature: Requests with ambiguous framing are refused

  Background:
    Given a fleet of 1 routers

  Scenario Outline: Malformed requests are refused and not forwarded
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

  Scenario: A request head that exceeds the size limit
    When a caller sends a header of 40000 bytes
    Then the status is 431

  Scenario: A request body that exceeds the size limit
    When a caller sends a body of 5000000 bytes
    Then the status is 413
    And no upstream received a request

  Scenario: A chunked body reaches the upstream completely
    When a caller sends the body "seat 7" in chunks of 2 bytes
    Then the raw response ends with "done:seat 7"

  Scenario: An incomplete body is not forwarded
    When a caller sends half of its body and closes the connection
    Then no upstream received a request

  Scenario: A caller that shuts down sending within its body gets an error
    When a caller sends half of its body and half-closes the connection
    Then the raw response starts with "HTTP/1.1 400" and the connection is closed
    And no upstream received a request

  Scenario: An endless request head is refused after a time-out
    Given a header timeout of 300 ms
    When a caller sends headers that never end
    Then the raw response starts with "HTTP/1.1 408" and the connection is closed

  Scenario: A request smuggled in the body of another request is not run
    When a caller sends a body that looks like a request
    Then exactly one request was run

  # Guards against chunk extensions and trailers without end, which were read for ever; and against a
  # bound that a caller inside the limits meets.
  Scenario Outline: Extensions and trailers of a body are bounded together
    When a caller sends a body in 40 chunks with extensions of <extension> bytes and <trailers> trailers of 100 bytes
    Then the raw response starts with "HTTP/1.1 <status>" and the connection is closed

    Examples:
      | extension | trailers | status |
      | 100       | 40       | 200    |
      | 220       | 70       | 200    |
      | 220       | 90       | 413    |
      | 0         | 400      | 413    |

  # Guards against bodies that are held for ever by a byte now and then: only gaps were limited.
  Scenario: A body that is not whole at the caller's deadline is refused as late
    When a caller with a deadline of 500 ms sends a byte of its body every 100 ms
    Then the raw response starts with "HTTP/1.1 408" and the connection is closed
    And no upstream received a request
