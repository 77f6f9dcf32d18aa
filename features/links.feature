Feature: Link faults are injected, and only requests that they affect are excused

  Scenario Outline: Open connections are <mode> while new ones work
    Given a connection through a proxy
    When its link is <mode>, and a new connection gets an answer
    Then it receives nothing until the fault ends, and then it <ends>

    Examples:
      | mode              | ends                          |
      | silent            | gets its answer               |
      | one_way, requests | is reset, recorded as one_way |
      | one_way, answers  | is reset, recorded as one_way |

  Scenario: A slow link forwards everything, a reset link nothing
    Given a connection through a proxy
    When its link is slow, and a new connection gets an answer
    Then it gets its answer
    When its link is reset, and a new connection gets an answer
    Then it is reset, recorded as reset

  Scenario: Connections are refused while the target does not listen
    Given a connection through a proxy
    Then a new connection after the stop of its target is reset, recorded as refused
    And the next connection is refused until the target listens again

  Scenario: A cut answer is excused if the proxy recorded a fault of its request
    Then a cut by a planned stop counts unless the proxy has recorded a fault of that request

  Scenario: A router that is killed during its planned stop had stopped as planned until then
    Then an answer cut before the kill counts as cut by the stop, and one cut by the kill does not
