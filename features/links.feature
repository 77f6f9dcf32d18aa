Feature: Link faults are injected, and only requests that they affect are excused

  Scenario Outline: Connections of a faulty link are <mode> while new connections work
    Given a connection through a proxy
    When the link of the connection is <mode>, and a new connection gets an answer
    Then the first connection receives nothing until the fault ends, and then it <ends>

    Examples:
      | mode              | ends                                         |
      | silent            | gets its answer                              |
      | one_way, requests | is reset, with the fault recorded as one_way |
      | one_way, answers  | is reset, with the fault recorded as one_way |

  Scenario: A slow link forwards all data, and a reset link none
    Given a connection through a proxy
    When the link of the connection is slow, and a new connection gets an answer
    Then the first connection gets its answer
    When the link of the connection is reset, and a new connection gets an answer
    Then the first connection is reset, with the fault recorded as reset

  Scenario: Connections are refused while the proxy's target does not listen
    Given a connection through a proxy
    Then a new connection after the stop of the proxy's target is reset, with the fault recorded as refused
    And the next connection is refused until the target listens again

  Scenario: A cut answer is excused if the proxy recorded a link fault of its request
    Then an answer cut by a planned stop counts as such unless the proxy has recorded a fault of its request

  Scenario: A caller whose own time is over while its router stops was not cut by the stop
    Then an answer that ends with the time of its caller does not count as cut by a planned stop

  Scenario: A planned stop that ends with a kill of the router counts as planned until the kill
    Then an answer cut before the kill counts as cut by the planned stop, and one cut by the kill does not
