Feature: Certificates control access to the RPCs

  Scenario: Routers with router certificates can call each other
    Given 2 routers with router certificates
    Then the routers can call each other

  Scenario: An operator certificate gives no access to the routers' RPCs
    Given 2 routers with router certificates
    When "anna" calls Join, FetchConfig, FetchUpstreams and FetchRequest with an operator certificate
    Then each call is denied and no router "anna" is known

  Scenario: A router's name in an operator certificate gives no rights
    Given 2 routers with router certificates
    And a document that gives "anna" read access
    When "router-1" requests the status with an operator certificate
    Then that call is denied
    When "anna" requests the status with an operator certificate
    Then that call succeeds
