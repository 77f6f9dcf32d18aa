Feature: Entries, configurations and messages that others have written

  Scenario Outline: An entry that is not as it must be names no upstream
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" has <value> for "<field>"
    Then "b, c" may get new requests
    When the entry of "a" reappears
    Then "a, b, c" may get new requests

    Examples:
      | field          | value                   |
      | addr           | "nonsense"              |
      | addr           | "10.0.0.1:99999"        |
      | addr           | "10.0.0.1:0"            |
      | addr           | null                    |
      | capacity-slots | -5                      |
      | capacity-slots | 1e999                   |
      | capacity-slots | "4"                     |
      | capacity-slots | true                    |
      | service        | ""                      |
      | service        | ["pool"]                |
      | service        | "\ud800"                |
      | zone           | 7                       |
      | state          | "asleep"                |
      | spot           | "no"                    |
      | born           | "yesterday"             |
      | seq            | null                    |

  Scenario: Values of another type stand for no entry
    Given upstreams "a", "b" and "c" with entries in the store
    Then "a" may get no work while its entry is null, [], "a", 7 or {}

  Scenario: One entry that can't be read does not hide those behind it
    Given upstreams "a", "b" and "c" with entries in the store
    When "a" turns unreadable in one change with one of "b" that says that it leaves
    Then "c" may get new requests

  Scenario: Whatever an entry holds, it is read or refused with its findings
    Then no entry of 600 drawn ones raises anything else, and each that is read can be used

  Scenario: Whatever a configuration holds, it is read or refused with its findings
    Then no configuration of 400 drawn ones raises anything else

  Scenario: A malformed configuration leaves the one in force
    Given a configuration in force
    When one of a higher version has "soon" for the timeout of a route
    Then the one before stays in force and the findings name the place
    When one of a higher version is as it must be
    Then it is in force

  Scenario: Bytes that can't be read cost the object that they stand in
    Given a listing of "a", "b" and "c" in which the value of "b" is no JSON
    Then "a" and "c" are read as they are, and "b" as one without a value
    And the changes of the three are read the same way

  Scenario: Whatever bytes the store answers with, a call of it ends
    Then no answer of 300 drawn ones raises anything

  Scenario: A peer's message is taken in whole or not at all
    Then no beacon of 400 drawn ones raises anything or makes an upstream usable

  Scenario: A peer's configuration that is none changes nothing
    Given a router whose peer answers with bytes that are no configuration
    When it asks the peer
    Then nothing has changed and the peer is named in the log

  Scenario: A peer's word of an address that is none takes the upstream out
    Given upstreams "a", "b" and "c" with entries in the store
    When a peer tells of "a" with the address "nonsense"
    Then "b, c" may get new requests

  Scenario Outline: A beacon with a number that can't be is not taken in
    Then a beacon with <count> for <what> is <taken>

    Examples:
      | count | what    | taken        |
      | 5     | running | taken in     |
      | -5    | running | not taken in |
      | -1    | unread  | not taken in |
      | -9    | memory  | not taken in |
