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

  # Guards against counts that drift as streams grow, shrink and lose their memory.
  Scenario: What streams hold is counted as it grows and shrinks
    Given a budget of 1000000 bytes
    Then in 200 random histories of streams the count is what they hold, and within the budget

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

  # Guards against answers that are read before there is memory for them: short requests for large answers
  # took 413 MB of 160. Small answers do not wait for large ones.
  Scenario: Answers wait for memory one after the other
    Given a budget of 1000000 bytes for answers
    When answers of 500000, 400000, 300000 and 10000 bytes arrive
    Then the answers 1 and 4 are read, and the others wait
    When answer 1 has been sent
    Then all answers are read

  # Guards against answers that wait for each other.
  Scenario: An answer goes on if only answers that wait hold the memory
    Given a budget of 1000000 bytes for answers
    When answers of 400000 and 390000 bytes arrive
    And each of them has 400000 bytes more
    Then the answers 1 and 2 hold 800000 and 390000 bytes
    When answer 1 has been sent
    Then the answers 1 and 2 hold 0 and 790000 bytes

  Scenario: An answer that finds no memory by its deadline is not read
    Given a budget of 1000000 bytes for answers
    When answers of 700000 and 200000 bytes arrive, the second one with 200 ms left
    Then the answers 1 are read, and the others have failed

  # Guards against a caller that leaves the queue, and takes the turn of the others with it.
  Scenario: A caller that leaves while its answer waits lets the next one go on
    Given a budget of 1000000 bytes for answers
    When answers of 700000, 200000 and 100000 bytes arrive
    And the caller of answer 2 leaves
    Then the answers 1 and 3 are read, and the others have left

  # Guards against bodies that keep answers from being read: what has run goes before what has not.
  Scenario: An answer takes the memory of bodies that are not whole
    Given a budget of 1000000 bytes for answers
    When a body of 700000 bytes has been read for 1 ms
    And answers of 200000 bytes arrive
    Then the answers 1 are read, and the body is evicted
