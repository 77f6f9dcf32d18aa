Feature: A planned stop cuts off nothing

  Scenario: What is in work ends, and callers go elsewhere
    Given a fleet of 3 routers
    When a router is told to stop while it serves 4 streams of 60 tokens
    Then all of them are complete and in order
    And it is out of the directory and not ready at once
    And new connections are served while it lasts, one request each
    And the router is empty within its grace time

  Scenario: What a stopping router may not finish it does not begin
    Given a fleet of 2 routers
    When a router is told to stop while it serves 2 streams of 600 tokens
    Then after 2100 ms a stream that may last longer than it is refused
    And a request that ends in time is served

  Scenario: A router does not end before what is in work
    Given a fleet of 2 routers
    When a router is told to stop while it serves 2 streams of 300 tokens
    Then it is empty by the time its stop is over

  Scenario: Idle connections are closed
    Given a fleet of 2 routers
    When a router is told to stop while a caller keeps an idle connection
    Then the idle connection is closed within 500 ms

  # Seen: a caller's connection ended without an answer, and its request is in no log.
  # How: it had connected just before the router began to stop, and its request was
  # on the way. Cause: a connection without a first request counted as an idle one.
  # Proof: the request is sent after the stop has begun, and answered.
  Scenario: A connection whose first request is on the way is not idle
    Given a fleet of 2 routers
    When a router is told to stop while a caller has just connected
    Then the caller's first request is answered, and its connection closed

  # Seen: a request was passed on to its upstream, and its caller's connection ended
  # without an answer, 29 ms after its router had been told to stop. How: it came on a
  # kept connection just before, and nobody had looked at it yet. Cause: a connection
  # counted as idle until its bytes were read, and what had come was read and served
  # after it had been shut. Proof: the bytes are there when idle ones are closed.
  Scenario: A request that has come and was not read yet is answered
    Given a fleet of 2 routers
    When a request comes on a kept connection in the moment of a planned stop
    Then it is answered, and its connection closed

  Scenario: A request that comes once its connection was shut is not passed on
    Given a fleet of 2 routers
    When a request comes on a kept connection right after it was shut
    Then nothing comes back, and no upstream got it

  # Seen: LOST, a request was passed on to its upstream, and its caller's connection
  # ended without an answer, 1.52 s after its router had been told to stop. How: it came
  # after the router had seen that nothing was in work, and before it had ended.
  # Proof: a request to a router whose stop is over, and which has not ended yet.
  Scenario: A request that comes as a stop ends is not passed on
    Given a fleet of 2 routers
    When a router's stop is over, and a request comes before it ends
    Then it is refused as not run, and no upstream got it

  Scenario: The holder of the duties gives them up
    Given a fleet of 3 routers
    When the holder of the duties is told to stop
    Then another router has them within 2500 ms
    And no call to the platform came with a lower number

  Scenario: A killed router is out of the directory
    Given a fleet of 3 routers
    When a router is killed
    Then the directory names it no more within 3000 ms

  Scenario: Settings that change while a router runs
    Given a settings file that names one store
    When the file names another store
    Then the new one is applied
    When the file becomes malformed
    Then the last good settings stay in force
