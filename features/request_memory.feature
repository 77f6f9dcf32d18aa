Feature: Memory of all requests of a process is counted together

  # Guards against a request that is kept with its body until the garbage collector runs: a killed
  # task of eventlet holds the frames of its caller.
  Scenario: A task that is cancelled before it begins keeps nothing of its caller
    When a task is cancelled before it begins, in a frame that holds a body
    Then the body is released without a garbage collection

  # Guards against bodies that are held while callers do not read their answers.
  Scenario: A body is released once its answer is whole
    Given a fleet of 1 routers
    When a caller sends a body of 200000 bytes and does not read the answer
    Then the router has released the body without a garbage collection

  # Guards against answers that are kept until the garbage collector runs: 64 MB of 160 after a crowd.
  Scenario: An answer is released once it is sent
    Given a fleet of 1 routers
    When a caller reads a large answer
    Then the router has released the answer without a garbage collection

  # Guards against counts that drift, and against a request that may run and loses its memory.
  Scenario: Random histories of requests keep to the budget
    Then in 300 random histories the memory in use is what open requests hold, and within the budget
    And no request that may run is evicted

  Scenario: A request alone may use all that its own limits allow
    Given a budget of 100000 bytes
    When a request alone charges 250000 bytes
    Then it is not refused
    And a second request is refused as long as the first one runs

  Scenario: Memory is taken from the body that has held the most for the longest time
    Given a budget of 1000000 bytes
    When bodies of 400000, 300000 and 60000 bytes have been read for 3000, 500 and 100 ms
    And another request charges 200000 bytes
    Then only the first body is evicted

  Scenario: An answer that is not read gives way, and one that is read does not
    Given a budget of 1000000 bytes
    When answers of 400000 and 400000 bytes have made no progress for 1500 and 200 ms
    And another request charges 200000 bytes
    Then only the first answer is broken off
