Feature: Links can be made to fail as networks do, and excuse no more than that

  Scenario Outline: Open connections are <mode> while new ones work
    Given a connection through a proxy
    When its link is <mode>, and a new connection is answered
    Then nothing came back to it until that is over, and it <ends>

    Examples:
      | mode              | ends                       |
      | silent            | gets its answer            |
      | one_way, requests | is reset, noted as one_way |
      | one_way, answers  | is reset, noted as one_way |

  Scenario: A slow link passes everything on, a reset one nothing
    Given a connection through a proxy
    When its link is slow, and a new connection is answered
    Then it gets its answer
    When its link is reset, and a new connection is answered
    Then it is reset, noted as reset

  Scenario: Where nobody listens, connections are refused until somebody does
    Given a connection through a proxy
    Then where its target ends a new one is reset, noted as refused
    And the next one is refused, until the target listens again

  Scenario: A cut answer is excused by what the proxy noted of its request
    Then a planned stop's cut counts where no or another request is noted

  Scenario: A router that is killed in its planned stop stopped as planned so far
    Then what ended before the kill counts as cut, and what went with it not
