Feature: Malformed entries, configurations and messages

  Scenario Outline: A malformed entry takes its upstream out of use
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
      | capacity-slots | 400 digits              |
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
      | seq            | 400 digits              |

  Scenario: A value of another type takes its upstream out of use
    Given upstreams "a", "b" and "c" with entries in the store
    Then "a" may get no work while its entry is null, [], "a", 7 or {}

  Scenario: An unreadable entry does not hide the changed entries after it
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" becomes unreadable in the change in which "b" starts to leave
    Then "c" may get new requests

  Scenario: Any upstream entry is either read or rejected with findings
    Then of 600 drawn entries each is rejected as malformed or gives a usable upstream

  Scenario: Any configuration is either read or rejected with findings
    Then of 400 drawn configurations each is read or rejected as malformed

  Scenario: A malformed configuration does not replace the one in force
    Given a configuration in force
    When a configuration of a higher version has "soon" as the time-out of a route
    Then the previous configuration stays in force and the findings name the field
    When a valid configuration of a higher version is read
    Then the new configuration is in force

  Scenario: Undecodable bytes affect only their own object
    Given a listing of "a", "b" and "c" in which the value of "b" is not JSON
    Then "a" and "c" are read unchanged, and "b" with an empty value
    And changes of the three objects are read the same way

  Scenario: A call ends whatever bytes the store answers with
    Then none of 300 drawn answers causes an exception

  # Guards against a round of orders that ends at a refusal whose text is no UTF-8, or is cut off inside
  # a character, so that no other order of the round is made.
  Scenario Outline: A refusal of the cloud API with any bytes is a refusal
    Then an order that is answered <status> with <bytes> is refused as <reason>

    Examples:
      | status | bytes                       | reason        |
      | 409    | no text                     | none_to_have  |
      | 409    | bytes that are no UTF-8     | none_to_have  |
      | 409    | 300 bytes of odd characters | none_to_have  |
      | 500    | bytes that are no UTF-8     | cloud_refused |
      | 500    | 300 bytes of odd characters | cloud_refused |

  Scenario: A peer's beacon is accepted or rejected as a whole
    Then none of 400 drawn beacons causes an exception or changes the known upstreams

  Scenario: An undecodable configuration of a peer changes nothing
    Given a router whose peer answers with an undecodable configuration
    When the router requests the configuration from the peer
    Then the configuration is unchanged and the log names the peer

  Scenario: An invalid address from a peer takes the upstream out of use
    Given upstreams "a", "b" and "c" with entries in the store
    When a peer reports "a" with the address "nonsense"
    Then "b, c" may get new requests

  Scenario Outline: A beacon with an invalid number is rejected
    Then a beacon whose load has <count> for <what> is <result>

    Examples:
      | count | what    | result   |
      | 5     | running | accepted |
      | -5    | running | rejected |
      | -1    | unread  | rejected |
      | -9    | memory  | rejected |
