Feature: Requests that crash upstreams

  Scenario: The fingerprint in the log identifies a resent request
    # Request ids change on each resend, so they cannot relate the attempts.
    Given a fleet of 2 routers
    When "tag 1" is sent twice to "/pages/a", then once with a new body and once with a new path
    Then the first two attempts are logged with the same fingerprint
    And requests with a new body or path have distinct fingerprints
