Feature: What a router adds is measured on whole answers only

  Scenario: Whole answers are measured
    Given one router and engines that answer whole
    When what the router adds is measured on 4 streams
    Then 4 first events are measured

  Scenario Outline: A stream that is not whole is told of, with what the router did
    Given one router and engines that <fault> every answer
    When what the router adds is measured on 4 streams
    Then it ends with an error that says "<told>" and how far the stream came
    And the error has the router's decisions on that request

    Examples:
      | fault  | told      |
      | cut    | broke_off |
      | refuse | 503       |

  Scenario: A stream that is not whole is told of where no router is in its way
    Given one router and engines that cut every answer
    When the streams that the router is compared with are measured
    Then it ends with an error that says "broke_off" and how far the stream came
