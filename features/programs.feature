Feature: The programs as separate processes

  Scenario: One request, served end to end, and one router killed
    Given a stand-in and two routers, each a process
    When an answer is asked for with the command line
    Then the command ends with 0 and printed the answer of 12 tokens
    And the command line lists 2 routers and 4 engines
    When the document is changed with the command line
    Then it is committed and in force at 2 routers
    When it is changed again from the version before
    Then the command ends with 3 and shows the other change
    When an event is declared with the command line
    Then it is listed and planned
    When the event is cancelled with the command line
    Then no event is listed
    When a request is asked about by its id
    Then the command line shows where it went
    When a router gets SIGHUP with changed settings
    Then it goes on with them
    And each request that was sent has an id of its own
    And the log is one line of key=value pairs an event
    When a router is killed while an answer streams
    Then the whole answer comes from the other router
    When the other router is told to stop
    Then it ends with 0 after its drain

  Scenario: A router is frozen, and thaws
    Given a stand-in and two routers, each a process
    When a router is frozen
    Then the directory names only the other within 5 s
    When the frozen router goes on
    Then both are named again

  Scenario: A router that stood still does not take the others for silent
    Given a stand-in and two routers, each a process
    When a router stands still for 2 s while it is asked which there are
    Then it names both

  Scenario: Stand-ins that are told to take free ports share none
    When two fleets of stand-ins are told to take free ports
    Then no address is listened at by both

  Scenario: A router at an address that is taken says so and ends
    Given a stand-in as a process
    When two routers are started at one address
    Then one serves, and one ends with 1 and says that the address is taken

  # Seen: once, all routers of a soak were killed at the same time, and one of them
  # could not start again: its address was in use. How: routers that are processes
  # listened at 127.0.0.1, at ports that the kernel had given them. For the second
  # that they were down, their ports were free for whatever asked for one. Cause: an
  # address that must be come back to was one that anybody may be given. Proof: with
  # another program at its port meanwhile, a router does not come back.
  Scenario: A router comes back at its address, whoever was given its port meanwhile
    Given a fleet whose router is a process
    When it is killed, and its ports on this machine are given to another program
    Then it comes back at its address
