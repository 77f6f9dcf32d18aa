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

  # Guards against a version that is guessed, or forgotten, while routers are lost, cut or restarted.
  Scenario: The version of a stream is known or refused, whatever happens to routers
    Then 150 random histories of streams that are taken up keep their versions

  # Guards against one answer of two versions, joined at routers that are out of step: what they had not
  # learned since the cut began did not exist for them, until they noticed that the store was lost.
  Scenario Outline: Routers that have just been cut off take no version for the only one
    Given 5 routers that know one version, of which <count> are cut off together
    When another version starts, and streams of it begin at the other routers
    Then no stream goes on at another version at the routers that are cut off
    And with the store back, streams of the version that all know go on there

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  # Guards against a process that was upgraded under its id, and still counts as the version
  # that its entry stated first.
  Scenario: An upstream that is upgraded under its id goes on with none of its streams
    Given a fleet of 1 routers with scripted engines of versions "v1"
    When the engine of a stream is upgraded to "v2" under its id
    Then the stream is broken at once, with events of "v1" only

  # Guards against streams that are taken up by upstreams that count as gone: the entries of their
  # version did not return after an outage of the store, but those of another version did.
  Scenario: An upstream whose entry is missing takes up no stream while others are there
    Given upstreams of "v1" whose entries are missing after an outage, and one of "v2"
    Then streams of "v1" go on nowhere, and those of "v2" there
    When the entry of "v2" is missing too
    Then streams of "v1" go on at theirs

  # Guards against one answer of two versions, joined by its caller: a version counted as the only one
  # if it had served alone for as long as the route allows, though callers may wait for longer.
  Scenario Outline: A stream that is taken up after its route's time limit <what> is not joined
    Given a fleet of 2 routers with scripted engines of versions "v1", and a time limit of 700 ms
    When a stream of "v1" is broken off, "v2" replaces "v1", and <what>
    And its caller takes it up 2500 ms later
    Then it is refused, and no engine of "v2" was asked

    Examples:
      | what                     |
      | nothing else happens     |
      | all routers are replaced |
