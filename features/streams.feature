Feature: Streams are forwarded completely and in order, also after a resume

  Scenario: Events are forwarded as they arrive
    Given a fleet of 2 routers
    When a caller streams 40 tokens from "/chat/x"
    Then the events of the stream are complete and in order
    And the first event arrives well before the last

  Scenario: A resumable stream resumes after its upstream is killed
    Given a fleet of 1 routers
    When a caller streams 200 tokens from "/chat/x" and its upstream is killed
    Then the events of the stream are complete and in order
    And the response has only the headers of its first upstream

  Scenario: A resumable stream resumes after it was truncated within an event
    Given a fleet of 1 routers
    And engines truncate one event in 15
    When 6 callers stream 60 tokens from "/chat/x"
    Then each stream is complete and in order, or detectably incomplete

  Scenario: Forwarded bytes always end at an event boundary
    Then only complete events are forwarded wherever a stream is cut

  Scenario: A stream that may not be resumed ends incomplete
    Given a fleet of 1 routers
    When a caller streams 200 tokens from "/once/x" and its upstream is killed
    Then the stream ends incomplete and the request ran once

  Scenario: A resumable stream resumes after its connection goes silent
    Given a fleet of 1 routers whose routes have a target gap of 100 ms
    When a caller streams 100 tokens from "/chat/x" and its connection goes silent
    Then the events of the stream are complete and in order

  # Guards against cutting off answers of healthy upstreams, seen next to a change of
  # the configuration and for 60 answers on each of two days. An engine that had run
  # out of memory recomputed the prefill for 3.2 s without an event. The stall time-out
  # of four target gaps ended every stream, even one that may not be resumed.
  Scenario: A stream that may not be resumed waits for its stalled upstream
    Given a fleet of 1 routers whose routes have a target gap of 100 ms
    When a caller streams 100 tokens from "/once/x" and its upstream pauses for 900 ms
    Then the events of the stream are complete and in order

  Scenario: A disconnect in the middle of a stream reaches the upstream
    Given a fleet of 1 routers
    When a caller of "/once/x" disconnects in the middle of its stream
    Then the upstream of the request detects the disconnect within 500 ms

  Scenario: A disconnect before the first byte reaches the upstream
    Given a fleet of 1 routers
    And every upstream of "booking" takes 3000 ms for a request
    When a caller of "/holds/seat" disconnects while it waits
    Then the upstream of the request detects the disconnect within 500 ms
    And the abandoned request was not run again

  Scenario: A request is aborted if its caller does not read the response
    Given a fleet of 1 routers with a write timeout of 300 ms
    When a caller requests a long stream and reads nothing
    Then the router aborts the request
