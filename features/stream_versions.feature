Feature: A stream goes on only at the software version that began it

  # Guards against one answer with events of two versions: an interrupted stream was resumed at any
  # upstream of its service.
  Scenario: An interrupted stream is resumed only at its version
    Given a fleet of 2 routers with scripted engines of versions "v1 v1 v2 v2 v2 v2"
    When 12 streams break off after their first event
    Then each stream is complete, of one version
    When all engines of "v1" and all but one of "v2" crash with their first stream
    Then each stream is of one version, complete or broken at once

  # Guards against callers that take a stream up at another router, where it goes on at any version:
  # nobody read which attempt had begun it, and its router had been killed.
  Scenario: A caller that takes a stream up gets it from the version that began it
    Given a fleet of 4 routers with scripted engines of versions "v1 v1 v2 v2"
    When the router of 12 streams is killed after their first events
    And their callers take them up at the other routers
    Then each stream is complete, of one version

  # Guards against a guess: a stream whose version no router knows went on at any version.
  Scenario: A stream of unknown version is refused while versions serve side by side
    Given a fleet of 2 routers with scripted engines of versions "v1 v1 v2 v2"
    When a caller takes up a stream that no router knows
    Then it is refused at once with a retry time, and no engine was asked

  # Guards against moves between versions: the memory of a stream was copied to any engine.
  Scenario: A stream is moved only to an engine of its version
    Given a fleet of 1 routers with scripted engines of versions "v1 v2 v2 v2"
    When the engine of a stream of "v1" leaves
    Then the stream is moved nowhere
