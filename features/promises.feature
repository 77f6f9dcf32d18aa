Feature: A status that promises that a request did not run is true

  # Guards against a promise while an attempt ran or may still run, whatever an upstream, the path to
  # a peer or the connection of the caller does.
  Scenario: Statuses are true whatever becomes of each attempt
    Then in 300 drawn worlds, no status promises more than is known of each attempt

  # Guards against refusals that state nothing about the request, and are passed on as a promise.
  Scenario Outline: A refusal that does not prove that the request did not run
    Given a fleet of 1 routers with one scripted upstream
    And the upstream answers with "<what>"
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 502, and the upstream ran the request at most once

    Examples:
      | what                                   |
      | a 421 that names no upstream           |
      | a 421 with the name of the upstream    |
      | a not-run header with the value 0      |
      | not-run headers that contradict        |

  Scenario: A 421 to another request comes before the answer
    Given a fleet of 1 routers with one scripted upstream
    And the upstream answers with "a stale 421 and then its own answer"
    When a caller posts "seat 12" to "/holds/seat"
    Then each caller receives the answer to its own request

  # Guards against a late refusal of an earlier request that is taken for that of the current one.
  Scenario Outline: A refusal without an id on a connection that had a request
    Given a fleet of 1 routers with one scripted upstream
    And the upstream answers with "<what>"
    When a caller posts "seat 12" to "/holds/seat"
    And a caller posts "seat 13" to "/holds/seat"
    Then the last caller receives 502 for a request that ran

    Examples:
      | what                                     |
      | its answer, but first a 503 without an id |
      | its answer, but first a 421 without an id |

  # Guards against a peer, or an upstream behind it, whose answer is taken for a promise.
  Scenario: An upstream behind a peer states the result of a call between routers
    Then the answer of an upstream that sets the result header is passed on as it is

  Scenario Outline: A peer passes on a status that promises that nothing ran
    Then an answer of a peer with the status <status> becomes a failure of unknown outcome

    Examples:
      | status |
      | 408    |
      | 421    |
      | 429    |

  Scenario: A peer does not accept a call after an attempt ran
    Then a request that ran before a peer did not accept it has an unknown outcome

  # Guards against a second run of a stream that ran at the upstream from which it was moved.
  Scenario: The target of a move refuses a stream before its first event
    Then a stream that may run once is not begun again after its move has failed

  Scenario: Only failures that guarantee that nothing ran have such a status
    Then at both APIs, no other kind of failure has the status 408, 421, 429 or 503
