Feature: What upstreams state in their answers

  # Guards against requests to an upstream whose leaving only its answers tell: with the
  # store out, routers sent it requests 3 s after they had passed on such an answer.
  Scenario: An upstream whose answers state that it leaves gets no more requests
    Given a fleet of 1 routers
    When one engine states in its answers that it leaves, and not in the store
    And 25 requests a second are sent for 4 s, to each router in turn
    Then that engine receives no request later than 2000 ms after its first answer
    And all requests are answered with 200
