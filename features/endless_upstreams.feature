Feature: An upstream that sends bytes without end harms only its own request

  # Guards against routers that read such bytes without yielding or without a bound: they
  # stood still, and the request did not end by its time limit.
  Scenario Outline: "<path>" is answered by <what> without end
    Given a fleet of one router with an endless upstream for "<path>"
    When "<path>" is answered by "<what>" without end
    Then the caller gets "<result>" in time, and the loop of the router kept running
    And the connection is closed, and the upstream counts as having failed

    Examples:
      | path   | what                       | result     |
      | /holds | a status line              | 502        |
      | /holds | a header line              | 502        |
      | /holds | headers                    | 502        |
      | /holds | long headers               | 502        |
      | /holds | continue responses         | 502        |
      | /holds | early hints                | 502        |
      | /holds | a chunk size               | 502        |
      | /holds | a chunk extension          | 502        |
      | /holds | small chunks               | 502 or 504 |
      | /holds | chunks with extensions     | 502 or 504 |
      | /holds | a chunk of negative size   | 502        |
      | /holds | trailers                   | 502        |
      | /holds | a body without length      | 502        |
      | /once  | comments                   | 502        |
      | /once  | blank lines                | 502        |
      | /once  | an event                   | 502        |
      | /once  | an event in small chunks   | 502 or 504 |
      | /once  | trailers                   | 502        |
      | /once  | a chunk of negative size   | 502        |
      | /once  | comments after an event    | broken     |
      | /once  | blank lines after an event | broken     |
      | /once  | an event after an event    | broken     |

  Scenario: A request that may be repeated is answered by another upstream
    Given a fleet of 1 routers
    Then each idempotent request is answered whole, whatever has no end

  Scenario: A stream that may be resumed goes on at another engine
    Given a fleet of 1 routers with 1 scripted engines
    Then a stream goes on at another engine, whatever has no end after an event

  # Guards against requests that are held until their time limit, although their upstream
  # has stated that it does not run them.
  Scenario: A refusal whose body has no end is passed on at once
    Given a fleet of one router with an endless upstream for "/holds"
    When "/holds" is refused as not run with "chunks with extensions" without end
    Then the caller gets "503" within 500 ms
    And the connection is closed, and the upstream counts as having failed

  # Guards against bounds that cut off responses without a fault.
  Scenario: Long events, repeated events and late responses are no fault
    Then an event of 1000000 bytes in pieces of 7 bytes is read whole
    And repeated events count as progress, unless they are repeated again
    And an event whose id has 5000 digits is returned as one without an id
    And 1000000 bytes of comments in pieces of 8 bytes are received in little time
    And a response that arrived before a pause of the router is read whole

  # Guards against a bound on what is read after the deadline that counts turns: while 40 responses
  # without end were read, their turns took 40 times as long, and callers waited for 10 s more.
  Scenario: A response without end is given up soon after its deadline, however long others take
    Then a response without end is read for at most 1000 ms after its deadline, with turns of 40 ms

  # Guards against a soak that injects the fault and sees no violation of it.
  Scenario: A soak notices a response without end that a router goes on reading
    Then a soak counts a response without end that is read 5100 ms too long
