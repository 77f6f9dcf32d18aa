Feature: The overhead of a router is measured on complete streams only

  Scenario: Complete streams are measured
    Given one router and engines without faults
    When the router's overhead is measured with 4 streams
    Then 4 first events are measured

  Scenario Outline: An incomplete stream is reported with the router's decisions
    Given one router and engines that <fault> every answer
    When the router's overhead is measured with 4 streams
    Then the measurement fails with "<error>" and the progress of the stream
    And the error contains the router's decisions on that request

    Examples:
      | fault  | error     |
      | cut    | broke_off |
      | refuse | 503       |

  Scenario: An incomplete stream is reported without a router in the path
    Given one router and engines that cut every answer
    When 4 streams directly to the engines are measured
    Then the measurement fails with "broke_off" and the progress of the stream
