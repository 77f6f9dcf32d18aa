Feature: A status that promises that a request did not run is true

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
