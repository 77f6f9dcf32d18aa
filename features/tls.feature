Feature: Certificates tell who may call what

  Scenario: Routers know each other by their certificates
    Given 2 routers with certificates of routers
    Then each has heard of the other by a call

  Scenario: An operator's certificate does not open what routers call
    Given 2 routers with certificates of routers
    When "anna" calls Join, FetchConfig, FetchUpstreams and FetchRequest with an operator's certificate
    Then each call is denied and no router "anna" is known

  Scenario: A router's name in an operator's certificate gives no rights
    Given 2 routers with certificates of routers
    And a document in which "anna" may read
    When "router-1" asks for the status with an operator's certificate
    Then that call is denied
    When "anna" asks for the status with an operator's certificate
    Then that call is answered
