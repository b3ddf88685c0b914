Feature: Endpoints and configuration read from the store
  The store may hold malformed values, and a restarted endpoint keeps its id.
  Guards against one bad value that affects other endpoints, and against
  state of an old incarnation that is applied to the new one.

  Scenario Outline: An entry that makes no sense names no endpoint
    Given a follower of a store with a sound endpoint "i-1"
    When an entry of "i-2" comes whose <field> is <value>
    Then it names no endpoint, and "i-1" is in use
    And the refusal is logged once however often it comes
    When a sound entry of "i-2" comes
    Then "i-2" is in use

    Examples:
      | field        | value                          |
      | address      | 5                              |
      | address      | "nohost"                       |
      | address      | "10.0.0.1:99999"               |
      | address      | "10.0.0.1:0"                   |
      | address      | "10.0.0:80"                    |
      | address      | missing                        |
      | slots        | "6"                            |
      | slots        | 0                              |
      | slots        | 65536                          |
      | slots        | a number of 400 digits         |
      | seq          | a number of 400 digits         |
      | cold_left_ms | 1e300                          |
      | layers       | [{"from": 0, "to": 1e300}]     |
      | born         | a number of 400 digits         |
      | state        | "bogus"                        |
      | state        | 7                              |
      | state        | missing                        |
      | service      | 9                              |
      | service      | missing                        |
      | layers       | [{"from": "0", "to": 9}]       |
      | layers       | [{"from": 9, "to": 3}]         |
      | layers       | [{"from": -1, "to": 3}]        |
      | layers       | "all"                          |
      | zone         | 4                              |
      | cold_left_ms | "x"                            |
      | born         | "abc"                          |
      | born         | 1.5                            |
      | born         | 99999999999999                 |
      | route_type   | ["small"]                      |

  Scenario Outline: A value that can't be read harms no other
    Given a follower of a store with a sound endpoint "i-1"
    When the value <value> comes at the key of "i-2"
    Then it names no endpoint, and "i-1" is in use

    Examples:
      | value      |
      | []         |
      | null       |
      | 1          |
      | "x"        |
      | {          |
      | 0xff       |
      | not base64 |
      | a number   |

  Scenario: No value whatever passes as an endpoint that makes no sense
    Then any value is refused or names an endpoint that makes sense

  Scenario: No value whatever ends the reading of a configuration
    Then any value is refused or is a configuration in force

  Scenario: No datagram whatever ends what entries tell each other
    Then any datagram is refused or taken in

  Scenario: An endpoint whose entry is spoiled is not used meanwhile
    Given a follower of a store with a sound endpoint "i-1"
    When an entry of "i-1" comes whose state is "bogus"
    Then "i-1" is not in use, but still holds its layers
    When a sound entry of "i-1" comes
    Then "i-1" is in use

  Scenario: A new version builds only the routes that it changes
    Given a configuration of 1800 routes
    When a version comes that changes one of them and adds one
    Then the others are the same rules as before, and these two are right

  Scenario: Layers that the model does not have end no search
    Given a follower of a store with a sound endpoint "i-1"
    When an entry of "i-2" comes whose layers is [{"from": 70, "to": 95}]
    Then "i-2" is no engine of a model of 80 layers, and "i-1" is one

  Scenario: An endpoint that starts again under its id begins anew
    Given a follower of a store with an endpoint "i-1" born at 1000
    And it is accused, refuses, broke runs and leaves
    When an entry of "i-1" comes whose born is 2000
    Then "i-1" is in use, holds no layers and nothing is held against it
    And those who ran on its old life are told
    When an entry of "i-1" comes whose born is 1000
    Then "i-1" is in use, born at 2000

  Scenario: What an endpoint itself tells of its life goes before the listing
    Given a follower of a store with an endpoint "i-1" born at 1000
    When its report says that it was born at 3000
    Then "i-1" is not in use
    When an entry of "i-1" comes whose born is 1000
    Then "i-1" is not in use
    When an entry of "i-1" comes whose born is 3000
    Then "i-1" is in use, born at 3000

  Scenario: An entry without a birth replaces none that has one
    Given a follower of a store with an endpoint "i-1" born at 1000
    When a sound entry of "i-1" comes
    Then "i-1" is in use, born at 1000

  Scenario: A birth told by reports alone changes nothing
    Given a follower of a store with a sound endpoint "i-1"
    When its report says that it was born at 3000
    And a sound entry of "i-1" comes
    Then "i-1" is in use
