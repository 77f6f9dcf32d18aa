Feature: A status that promises that a request did not run is true

  # Guards against a second run of a stream that ran at the upstream from which it was moved.
  Scenario: The target of a move refuses a stream before its first event
    Then a stream that may run once is not begun again after its move has failed
