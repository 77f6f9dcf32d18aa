Feature: The programs run as separate processes

  Scenario: Requests, commands and signals work end to end, and a stream survives the loss of its router
    Given a stand-in and two routers in separate processes
    When a request is sent with the command line
    Then the command exits with 0 and has printed the answer of 12 tokens
    And the command line lists 2 routers and 4 engines
    When the configuration is changed with the command line
    Then the configuration change is committed and in force at 2 routers
    When the configuration is changed again, based on the previous version
    Then the command exits with 3 and shows the conflicting change
    When an event is declared with the command line
    Then the command line lists the event and its plan
    When the event is cancelled with the command line
    Then the command line lists no event
    When a request is looked up by its id
    Then the command line shows the upstream of the request
    When a router receives SIGHUP after a change of its settings
    Then the router reloads the settings and continues to serve
    And each request that was sent has a unique id
    And the log has one line of key=value pairs for each event
    When a router is killed while it streams an answer
    Then the other router sends the whole answer
    When the other router receives SIGTERM
    Then the terminated router exits with 0 after its drain

  Scenario: The command line shows the scarcity of services after the order was set
    Given a stand-in and two routers in separate processes
    When a router receives SIGHUP after the order under scarcity was changed to "fifo"
    Then the router logs that the order is invalid and keeps the order "slack"
    When a router receives SIGHUP after the order under scarcity was changed to "priority"
    Then the command line shows a service with sufficient capacity
    And the command line finds no router "nobody" to show

  Scenario: A suspended router is not listed until it is resumed
    Given a stand-in and two routers in separate processes
    When a router is suspended
    Then the directory lists only the other router within 5 s
    When the suspended router is resumed
    Then the directory lists both routers again

  Scenario: A router that was suspended does not consider the other routers silent
    Given a stand-in and two routers in separate processes
    When a router receives a directory request while it is suspended for 2 s
    Then the answer of the router lists both routers

  Scenario: Two fleets of stand-ins on free ports share no address
    When two fleets of stand-ins are started on free ports
    Then the fleets share no address

  Scenario: A router whose address is in use logs the error and exits
    Given a stand-in in a separate process
    When two routers are started with the same address
    Then one router serves, and the other exits with 1 and logs that the address is in use

  # Guards against routers that cannot start again because their address is in use. In a
  # soak, all routers were killed at once, and one of them failed to restart. Router
  # processes listened at 127.0.0.1 on ports assigned by the kernel. During the second in
  # which they were down, the kernel could assign the same port to any program. A router
  # restarts at the same address, so no other program may be assigned that address.
  Scenario: A router restarts at its address even if another program has bound its port
    Given a fleet with one router in a separate process
    When the router is killed, and another program binds its ports at 127.0.0.1
    Then the killed router restarts at its address
