Feature: The command that shows whose requests wait for capacity
  Fails if an operator who is told that a team's requests wait does not see
  behind whom, or acts on figures that are wrong without a word.

  Scenario: Those that are held back come first, with reason and extent
    Guards against a reason that one entry alone can't know: what precedes
    a request may wait at another entry.
    Given entry one, where 3 requests of batch wait at priority 2
    And entry one, where 2 requests of big wait at priority 1 and 4 run
    And entry two, where 1 request of small waits at priority 1
    And entry two, where 0 requests of ops wait at priority 0 and 2 run
    When the operator asks entries one and two for the demand
    Then the command ends with 0
    And the demand of batch is "2 batch 3 9.0 priority 0 0 0.000 one"
    And the demand of big is "1 big 2 8.0 team share 4 4 0.000 one"
    And the demand of small is "1 small 1 7.0 no capacity 0 0 0.000 two"
    And the demand of ops is "0 ops 0 0.0 - 2 2 0.000 -"
    And they are listed in the order batch, big, small, ops

  Scenario: One entry tells what the others told it
    Guards against an operator who can reach one entry only and sees a part.
    Given entry one, where 3 requests of batch wait at priority 2
    And entry two, where 1 request of small waits at priority 1
    When the operator asks entries one for the demand
    Then the demand of batch is "2 batch 3 9.0 priority 0 0 0.000 one"
    And the demand of small is "1 small 1 0.0 no capacity 0 0 0.000 -"

  Scenario: An entry that is named twice counts once
    Guards against waiting requests that are counted twice.
    Given entry one, where 3 requests of batch wait at priority 2
    When the operator asks entries one and one for the demand
    Then the demand of batch is "2 batch 3 9.0 no capacity 0 0 0.000 one"

  Scenario: An entry that fails is told beside the others' demand
    Guards against a table that looks complete while an entry is missing.
    Given entry one, where 3 requests of batch wait at priority 2
    And entry two, whose dump has no demand
    When the operator asks entries one and two for the demand
    Then the command ends with 1
    And it prints "the dump has no demand; give the URL of an entry"
    And the demand of batch is "2 batch 3 9.0 no capacity 0 0 0.000 one"

  Scenario: A service whose requests are not shared is told
    Guards against an empty table where requests wait in plain sight.
    Given entry one, where 2 requests wait for a service that is not shared
    When the operator asks entries one for the demand
    Then it prints "web: 2 wait; each entry orders its own"

  Scenario Outline: Wrong arguments are told
    Guards against a mistake that looks like a calm deployment.
    When the operator runs "<line>"
    Then the command ends with <code> and prints "<text>"

    Examples:
      | line                              | code | text                                   |
      | demand                            | 2    | at least one --admin URL is required   |
      | demand --admin 127.0.0.1:1        | 2    | expected a URL with http:// or https:// |
      | demand --admin http://127.0.0.1:1 | 1    | http://127.0.0.1:1: |
      | demand --team batch               | 2    | --team                                 |

  Scenario: The dump of an entry names what it knows
    Guards against digests where names are known, and against guessed names.
    Given an entry that was told of requests of team known and of another
    And urgent requests that it gets itself
    Then its dump has rows of team known and of a digest
    And both have a reserve of 0.2
    And the service has 1 yield that was not used
    And its metrics have "dunlintide_edge_reserved_fraction 0.2"
